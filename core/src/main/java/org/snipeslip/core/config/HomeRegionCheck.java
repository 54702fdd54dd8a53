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
 * Checks that every call that a route and an organisation admit has a region to be served in. Sets
 * of home regions are few, so organisations with equal sets are checked once per route.
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
        set.services().values().forEach(s -> regionsByService.put(s.id(), regionsOf(s)));
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Organisation o && !o.homeRegions().isEmpty()) {
                organisationByRegions.putIfAbsent(o.homeRegions(), o);
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
                Set<RegionId> served = regionsByService.get(route.service());
                boolean complete = route(sourced, route, served);
                organisations(sourced, route, served, complete);
            }
        }
    }

    private boolean route(SourcedObject at, Route route, Set<RegionId> served) {
        boolean complete = true;
        for (RegionId region : route.homeRegions().stream().sorted().toList()) {
            if (set.homeRegions().containsKey(region) && !served.contains(region)) {
                String detail =
                        "service %s has no backend server in region %s"
                                .formatted(route.service(), region);
                faults.add(at, "homeRegions", Rule.NO_BACKEND_SERVER_IN_HOME_REGION, detail);
                complete = false;
            }
        }
        return complete;
    }

    private void organisations(
            SourcedObject at, Route route, Set<RegionId> served, boolean complete) {
        for (Organisation organisation : organisationByRegions.values()) {
            if (!set.homeRegions().keySet().containsAll(organisation.homeRegions())) {
                continue;
            }
            Set<RegionId> common = new HashSet<>(organisation.homeRegions());
            if (!route.homeRegions().isEmpty()) {
                common.retainAll(route.homeRegions());
            }
            if (common.isEmpty()) {
                String detail = organisation.label() + " has none of these home regions";
                faults.add(at, "homeRegions", Rule.HOME_REGIONS_DISJOINT, detail);
            } else if (complete && common.stream().noneMatch(served::contains)) {
                String detail =
                        "service %s has no backend server for %s in its home regions"
                                .formatted(route.service(), organisation.label());
                faults.add(at, "service", Rule.NO_BACKEND_SERVER_IN_HOME_REGION, detail);
            }
        }
    }
}
