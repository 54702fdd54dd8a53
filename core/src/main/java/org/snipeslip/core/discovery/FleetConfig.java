package org.snipeslip.core.discovery;

import java.util.List;
import org.snipeslip.core.config.Route;

/**
 * A configuration whose services have discovered servers.
 *
 * @param version grows with each configuration, in uneven steps
 * @param routes the routes
 * @param services the services
 * @param callerBounds bounds on requests
 */
public record FleetConfig(
        long version, List<Route> routes, List<ServicePlan> services, CallerBounds callerBounds) {
    /** Copies the lists. */
    public FleetConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }
}
