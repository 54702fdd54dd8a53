package org.snipeslip.core.config;

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
 * @param service the service that answers
 * @param callClass priority in the queue
 * @param idempotentMethods methods whose calls may be sent more than once
 * @param homeRegions the only regions its calls may be served in; empty for any
 * @param deadlineMillis time limit of a call that brings none of its own, in milliseconds
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
        long deadlineMillis)
        implements ConfigObject {
    /** Methods that are safe by definition (RFC 9110), the default of a route. */
    public static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the sets. */
    public Route {
        methods = Set.copyOf(methods);
        idempotentMethods = Set.copyOf(idempotentMethods);
        homeRegions = Set.copyOf(homeRegions);
    }

    /**
     * Tells whether a call may be sent more than once.
     *
     * @param method the call's method
     * @return true if a repeated call has the effect of one
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method);
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
