package org.snipeslip.core.discovery;

import java.util.List;
import org.snipeslip.core.config.Route;

/**
 * A configuration of routes and services whose backend servers are discovered separately.
 *
 * @param version increases with each configuration, not necessarily by one
 * @param routes the routes
 * @param services the services, without their servers
 * @param callerLimits limits on the requests of callers
 */
public record DiscoveredConfig(
        long version, List<Route> routes, List<ServiceConfig> services, CallerLimits callerLimits) {
    /** Copies the lists. */
    public DiscoveredConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }
}
