package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * An immutable set of validated configuration objects.
 *
 * @param generation the generation
 * @param homeRegions home regions by name
 * @param failureDomains failure domains by name
 * @param organisations organisations by name
 * @param services services by name
 * @param routes routes by name
 */
public record ConfigSet(
        Generation generation,
        Map<RegionId, HomeRegion> homeRegions,
        Map<FailureDomainId, FailureDomain> failureDomains,
        Map<OrganisationId, Organisation> organisations,
        Map<ServiceId, Service> services,
        Map<RouteId, Route> routes) {
    /**
     * The set in force before the first one is adopted; it has no routes, so it matches no call.
     */
    public static final ConfigSet EMPTY =
            new ConfigSet(Generation.NONE, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public ConfigSet {
        homeRegions = Map.copyOf(homeRegions);
        failureDomains = Map.copyOf(failureDomains);
        organisations = Map.copyOf(organisations);
        services = Map.copyOf(services);
        routes = Map.copyOf(routes);
    }

    /**
     * Groups objects by kind and name. Of two objects of a kind with the same name the later one is
     * kept; {@link ConfigCheck} rejects such sets.
     *
     * @param generation generation of the set
     * @param objects objects of all kinds, in any order
     * @return the set
     */
    public static ConfigSet of(Generation generation, Iterable<? extends ConfigObject> objects) {
        Map<RegionId, HomeRegion> homeRegions = new HashMap<>();
        Map<FailureDomainId, FailureDomain> failureDomains = new HashMap<>();
        Map<OrganisationId, Organisation> organisations = new HashMap<>();
        Map<ServiceId, Service> services = new HashMap<>();
        Map<RouteId, Route> routes = new HashMap<>();
        for (ConfigObject object : objects) {
            switch (object) {
                case HomeRegion homeRegion -> homeRegions.put(homeRegion.id(), homeRegion);
                case FailureDomain failureDomain ->
                        failureDomains.put(failureDomain.id(), failureDomain);
                case Organisation organisation ->
                        organisations.put(organisation.id(), organisation);
                case Service service -> services.put(service.id(), service);
                case Route route -> routes.put(route.id(), route);
            }
        }
        return new ConfigSet(
                generation, homeRegions, failureDomains, organisations, services, routes);
    }

    /**
     * Returns a copy with another generation.
     *
     * @param newGeneration generation of the copy
     * @return the copy, with the same objects
     */
    public ConfigSet withGeneration(Generation newGeneration) {
        return new ConfigSet(
                newGeneration, homeRegions, failureDomains, organisations, services, routes);
    }
}
