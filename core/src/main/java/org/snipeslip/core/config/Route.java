package org.snipeslip.core.config;

import java.util.List;
import java.util.Set;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * Sends the calls that match a host, path prefix and method to a service.
 *
 * @param id the name
 * @param host the host name to match, or "*" for any
 * @param pathPrefix the raw path prefix to match, ending at a segment boundary
 * @param methods the methods to match; empty for any
 * @param service the service that answers; with a split, the first of its services
 * @param callClass priority in the queue
 * @param idempotentMethods methods whose calls may be sent more than once
 * @param homeRegions the only regions its calls may be served in; empty for any
 * @param deadlineMillis time limit of a call that brings none of its own, in milliseconds
 * @param split the services that share the calls by weight; empty if {@code service} takes all
 * @param maxTries most tries of one call, the first included; 0 for the limit of the settings
 * @param targetLatencyMillis time within which an answer is useful in full; 0 if not stated
 * @param rank order of routes that compete for the same servers; 0 goes first
 */
public record Route(
        RouteId id,
        String host,
        String pathPrefix,
        Set<String> methods,
        ServiceId service,
        CallClass callClass,
        Set<String> idempotentMethods,
        Set<RegionId> homeRegions,
        long deadlineMillis,
        List<ServiceShare> split,
        int maxTries,
        long targetLatencyMillis,
        int rank)
        implements ConfigObject {
    /** Stands for every method in {@code idempotentMethods}. */
    public static final String ANY_METHOD = "*";

    /** Methods that are safe by definition (RFC 9110), the default of a route. */
    public static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the sets. */
    public Route {
        methods = Set.copyOf(methods);
        idempotentMethods = Set.copyOf(idempotentMethods);
        homeRegions = Set.copyOf(homeRegions);
        split = List.copyOf(split);
    }

    /**
     * Creates a route to one service, with the limits of the settings.
     *
     * @param id the name
     * @param host the host name to match, or "*" for any
     * @param pathPrefix the raw path prefix to match
     * @param methods the methods to match; empty for any
     * @param service the service that answers
     * @param callClass priority in the queue
     * @param idempotentMethods methods whose calls may be sent more than once
     * @param homeRegions the only regions its calls may be served in; empty for any
     * @param deadlineMillis time limit of a call that brings none of its own, in milliseconds
     */
    public Route(
            RouteId id,
            String host,
            String pathPrefix,
            Set<String> methods,
            ServiceId service,
            CallClass callClass,
            Set<String> idempotentMethods,
            Set<RegionId> homeRegions,
            long deadlineMillis) {
        this(
                id,
                host,
                pathPrefix,
                methods,
                service,
                callClass,
                idempotentMethods,
                homeRegions,
                deadlineMillis,
                List.of(),
                0,
                0,
                0);
    }

    /**
     * Tells whether calls of this route may go to a service.
     *
     * @param candidate the service
     * @return true if it takes all calls or a share of them
     */
    public boolean sendsTo(ServiceId candidate) {
        return split.isEmpty()
                ? service.equals(candidate)
                : split.stream().anyMatch(share -> share.service().equals(candidate));
    }

    /**
     * Tells whether a call may be sent more than once.
     *
     * @param method the call's method
     * @return true if a repeated call has the effect of one
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method) || idempotentMethods.contains(ANY_METHOD);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.ROUTE;
    }

    @Override
    public String name() {
        return id.value();
    }
}
