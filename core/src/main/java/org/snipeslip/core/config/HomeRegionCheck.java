package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.ServiceId;

/**
 * Checks that calls can be served in the home regions of their route and organisation: each home
 * region of a route needs a backend server of the service, and each organisation needs such a
 * region in common with the route. There are few distinct sets of home regions, so each set is
 * checked only once per route, for the first organisation that has it.
 */
final class HomeRegionCheck {
    private final List<SourcedObject> objects;
    private final ConfigSet set;
    private final FaultList faults;
    private final Map<ServiceId, Set<RegionId>> regionsByService = new HashMap<>();
    private final Map<Set<RegionId>, Organisation> organisationByRegions = new LinkedHashMap<>();

    HomeRegionCheck(List<SourcedObject> objects, FaultList faults) {
        this.objects = objects;
        this.set =
                ConfigSet.of(Generation.NONE, objects.stream().map(SourcedObject::object).toList());
        this.faults = faults;
        set.services()
                .values()
                .forEach(service -> regionsByService.put(service.id(), regionsOf(service)));
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Organisation organisation
                    && !organisation.homeRegions().isEmpty()) {
                organisationByRegions.putIfAbsent(organisation.homeRegions(), organisation);
            }
        }
    }

    private Set<RegionId> regionsOf(Service service) {
        Set<RegionId> regions = new HashSet<>();
        for (BackendServer server : service.backendServers()) {
            FailureDomain domain = set.failureDomains().get(server.failureDomain());
            if (domain != null) {
                regions.add(domain.region());
            }
        }
        return regions;
    }

    void run() {
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Route route
                    && regionsByService.containsKey(route.service())) {
                Set<RegionId> servedRegions = regionsByService.get(route.service());
                boolean allRegionsServed = checkRoute(sourced, route, servedRegions);
                checkOrganisations(sourced, route, servedRegions, allRegionsServed);
            }
        }
    }

    private boolean checkRoute(SourcedObject sourced, Route route, Set<RegionId> servedRegions) {
        boolean allRegionsServed = true;
        for (RegionId region : route.homeRegions().stream().sorted().toList()) {
            if (set.homeRegions().containsKey(region) && !servedRegions.contains(region)) {
                String detail =
                        "service %s has no backend server in region %s"
                                .formatted(route.service(), region);
                faults.add(sourced, "homeRegions", Rule.NO_BACKEND_SERVER_IN_HOME_REGION, detail);
                allRegionsServed = false;
            }
        }
        return allRegionsServed;
    }

    private void checkOrganisations(
            SourcedObject sourced,
            Route route,
            Set<RegionId> servedRegions,
            boolean allRegionsServed) {
        for (Organisation organisation : organisationByRegions.values()) {
            if (!set.homeRegions().keySet().containsAll(organisation.homeRegions())) {
                continue;
            }
            Set<RegionId> commonRegions = new HashSet<>(organisation.homeRegions());
            if (!route.homeRegions().isEmpty()) {
                commonRegions.retainAll(route.homeRegions());
            }
            if (commonRegions.isEmpty()) {
                String detail = organisation.label() + " has none of these home regions";
                faults.add(sourced, "homeRegions", Rule.HOME_REGIONS_DISJOINT, detail);
            } else if (allRegionsServed
                    && commonRegions.stream().noneMatch(servedRegions::contains)) {
                String detail =
                        "service %s has no backend server for %s in its home regions"
                                .formatted(route.service(), organisation.label());
                faults.add(sourced, "service", Rule.NO_BACKEND_SERVER_IN_HOME_REGION, detail);
            }
        }
    }
}
