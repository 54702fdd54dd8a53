package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.ServiceId;

/**
 * A configuration of routes, services and organisations whose backend servers are discovered
 * separately.
 *
 * @param version increases with each configuration, not necessarily by one
 * @param routes the routes
 * @param services the services, without their servers
 * @param organisations the organisations whose callers have API keys
 * @param callerLimits limits on the requests of callers
 * @param faults parts that cannot be applied as they stand
 */
public record DiscoveredConfig(
        long version,
        List<Route> routes,
        List<ServiceConfig> services,
        List<Organisation> organisations,
        CallerLimits callerLimits,
        List<ConfigFault> faults) {
    /** Copies the lists. */
    public DiscoveredConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        organisations = List.copyOf(organisations);
        faults = List.copyOf(faults);
    }

    /**
     * Creates a configuration without organisations and faults.
     *
     * @param version increases with each configuration
     * @param routes the routes
     * @param services the services, without their servers
     * @param callerLimits limits on the requests of callers
     */
    public DiscoveredConfig(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            CallerLimits callerLimits) {
        this(version, routes, services, List.of(), callerLimits, List.of());
    }

    /**
     * Returns this configuration with a replacement for each part that cannot be read: the part of
     * the same name of the configuration before it, or the placeholder of a route.
     *
     * @param previous the configuration in force before, or null
     * @return the configuration to apply, with the same faults
     */
    DiscoveredConfig completedFrom(DiscoveredConfig previous) {
        if (faults.isEmpty()) {
            return this;
        }
        List<Route> completedRoutes = new ArrayList<>(routes);
        List<ServiceConfig> completedServices = new ArrayList<>(services);
        List<Organisation> completedOrganisations = new ArrayList<>(organisations);
        for (ConfigFault fault : faults) {
            switch (fault) {
                case ConfigFault.MalformedRoute(String name, Route placeholder, String reason) -> {
                    Route known = previous == null ? null : previous.route(name);
                    if (known != null) {
                        completedRoutes.add(known);
                    } else if (placeholder != null) {
                        completedRoutes.add(placeholder);
                    }
                }
                case ConfigFault.MalformedService(ServiceId id, String reason) -> {
                    ServiceConfig known = previous == null ? null : previous.service(id);
                    if (known != null) {
                        completedServices.add(known);
                    }
                }
                case ConfigFault.MalformedOrganisation(OrganisationId id, String reason) -> {
                    Organisation known = previous == null ? null : previous.organisation(id);
                    // Without keys, but callers need one from somebody.
                    completedOrganisations.add(
                            known == null ? new Organisation(id, Set.of(), 1) : known);
                }
                case ConfigFault.UnknownRouteKind unknown -> {
                    // The route is among the routes.
                }
            }
        }
        return new DiscoveredConfig(
                version,
                completedRoutes,
                completedServices,
                completedOrganisations,
                callerLimits,
                faults);
    }

    private Route route(String name) {
        return routes.stream().filter(route -> route.name().equals(name)).findAny().orElse(null);
    }

    private Organisation organisation(OrganisationId id) {
        return organisations.stream().filter(each -> each.id().equals(id)).findAny().orElse(null);
    }

    private ServiceConfig service(ServiceId id) {
        return services.stream().filter(each -> each.id().equals(id)).findAny().orElse(null);
    }
}
