package org.snipeslip.core.config;

import java.util.List;
import java.util.Set;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * A rule that sends the calls that match a host, path prefix and method to a service.
 *
 * @param id name of the route
 * @param host the host name to match, or "*" for any
 * @param pathPrefix the raw path prefix to match, ending at a segment boundary
 * @param methods the methods to match; empty for any
 * @param service the service that receives the calls; with a split, the first of its services
 * @param callClass priority in the queue
 * @param idempotentMethods methods whose calls may be sent more than once
 * @param homeRegions the only regions in which its calls may be served; empty for any
 * @param deadlineMillis time limit of a call that states none, in milliseconds
 * @param split the services among which the calls are split by weight; empty if {@code service}
 *     receives all calls
 * @param maxTries maximum number of tries of one call, including the first; 0 for the limit of the
 *     settings
 * @param targetLatencyMillis time up to which a response has its full value; 0 if not stated
 * @param rank precedence among routes that compete for the same servers; 0 is served first
 * @param allowsAnonymous whether callers need no API key where organisations have keys
 * @param transfer which bodies of its calls are large
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
        int rank,
        boolean allowsAnonymous,
        Transfer transfer)
        implements ConfigObject {
    /** Matches any method in {@code idempotentMethods}. */
    public static final String ANY_METHOD = "*";

    /**
     * Methods that are safe by definition (RFC 9110); the default idempotent methods of a route.
     */
    public static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the collections. */
    public Route {
        methods = Set.copyOf(methods);
        idempotentMethods = Set.copyOf(idempotentMethods);
        homeRegions = Set.copyOf(homeRegions);
        split = List.copyOf(split);
    }

    /**
     * Creates a route with small bodies, whose callers need an API key where organisations have
     * keys.
     *
     * @param id name of the route
     * @param host the host name to match, or "*" for any
     * @param pathPrefix the raw path prefix to match
     * @param methods the methods to match; empty for any
     * @param service the service that receives the calls; with a split, the first of its services
     * @param callClass priority in the queue
     * @param idempotentMethods methods whose calls may be sent more than once
     * @param homeRegions the only regions in which its calls may be served; empty for any
     * @param deadlineMillis time limit of a call that states none, in milliseconds
     * @param split the services among which the calls are split by weight
     * @param maxTries maximum number of tries of one call; 0 for the limit of the settings
     * @param targetLatencyMillis time up to which a response has its full value; 0 if not stated
     * @param rank precedence among routes that compete for the same servers
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
            long deadlineMillis,
            List<ServiceShare> split,
            int maxTries,
            long targetLatencyMillis,
            int rank) {
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
                split,
                maxTries,
                targetLatencyMillis,
                rank,
                false,
                Transfer.SMALL);
    }

    /**
     * Creates a route to a single service, with the limits of the settings.
     *
     * @param id name of the route
     * @param host the host name to match, or "*" for any
     * @param pathPrefix the raw path prefix to match
     * @param methods the methods to match; empty for any
     * @param service the service that receives the calls
     * @param callClass priority in the queue
     * @param idempotentMethods methods whose calls may be sent more than once
     * @param homeRegions the only regions in which its calls may be served; empty for any
     * @param deadlineMillis time limit of a call that states none, in milliseconds
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
     * Returns whether calls of this route may be sent to a service.
     *
     * @param candidate the service
     * @return true if it receives all calls or, by the split, a share of them
     */
    public boolean sendsTo(ServiceId candidate) {
        return split.isEmpty()
                ? service.equals(candidate)
                : split.stream().anyMatch(share -> share.service().equals(candidate));
    }

    /**
     * Returns whether a call may be sent more than once.
     *
     * @param method HTTP method of the call
     * @return true if repeating the call has the same effect as sending it once
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
