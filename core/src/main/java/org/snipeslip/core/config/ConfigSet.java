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
 * One immutable, checked set of configuration objects.
 *
 * @param generation its number
 * @param homeRegions by name
 * @param failureDomains by name
 * @param organisations by name
 * @param services by name
 * @param routes by name
 */
public record ConfigSet(
        Generation generation,
        Map<RegionId, HomeRegion> homeRegions,
        Map<FailureDomainId, FailureDomain> failureDomains,
        Map<OrganisationId, Organisation> organisations,
        Map<ServiceId, Service> services,
        Map<RouteId, Route> routes) {
    /** The set in force before any was adopted; it matches no call. */
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
     * Sorts objects by kind and name. Of two objects with one name the later one stays; {@link
     * ConfigCheck} refuses such sets.
     *
     * @param generation number of the set
     * @param objects the objects
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
                case HomeRegion o -> homeRegions.put(o.id(), o);
                case FailureDomain o -> failureDomains.put(o.id(), o);
                case Organisation o -> organisations.put(o.id(), o);
                case Service o -> services.put(o.id(), o);
                case Route o -> routes.put(o.id(), o);
            }
        }
        return new ConfigSet(
                generation, homeRegions, failureDomains, organisations, services, routes);
    }

    /**
     * Returns the same objects under another generation.
     *
     * @param newGeneration the generation
     * @return the renumbered set
     */
    public ConfigSet withGeneration(Generation newGeneration) {
        return new ConfigSet(
                newGeneration, homeRegions, failureDomains, organisations, services, routes);
    }
}
