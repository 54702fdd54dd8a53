package org.snipeslip.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;

/**
 * Checks that every object that a field refers to exists, and that exactly one region hosts the
 * object API.
 */
final class ReferenceCheck {
    private final List<SourcedObject> objects;
    private final ConfigSet set;
    private final FaultList faults;

    ReferenceCheck(List<SourcedObject> objects, FaultList faults) {
        this.objects = objects;
        this.set =
                ConfigSet.of(Generation.NONE, objects.stream().map(SourcedObject::object).toList());
        this.faults = faults;
    }

    void run() {
        for (SourcedObject sourced : objects) {
            switch (sourced.object()) {
                case HomeRegion region -> {
                    // Has no references.
                }
                case FailureDomain domain ->
                        checkRegions(sourced, "homeRegion", Set.of(domain.region()));
                case Organisation organisation ->
                        checkRegions(sourced, "homeRegions", organisation.homeRegions());
                case Service service -> checkService(sourced, service);
                case Route route -> checkRoute(sourced, route);
            }
        }
        checkObjectApiRegion();
    }

    private void checkService(SourcedObject sourced, Service service) {
        for (int i = 0; i < service.backendServers().size(); i++) {
            BackendServer server = service.backendServers().get(i);
            if (!set.failureDomains().containsKey(server.failureDomain())) {
                String field = BackendServerCheck.fieldPath(i, "failureDomain");
                reportDangling(
                        sourced, field, ObjectKind.FAILURE_DOMAIN, server.failureDomain().value());
            }
        }
    }

    private void checkRoute(SourcedObject sourced, Route route) {
        if (!set.services().containsKey(route.service())) {
            reportDangling(sourced, "service", ObjectKind.SERVICE, route.service().value());
        }
        for (ServiceShare share : route.split()) {
            if (!set.services().containsKey(share.service())) {
                reportDangling(sourced, "split", ObjectKind.SERVICE, share.service().value());
            }
        }
        checkRegions(sourced, "homeRegions", route.homeRegions());
    }

    private void checkRegions(SourcedObject sourced, String field, Collection<RegionId> regions) {
        for (RegionId region : regions.stream().sorted().toList()) {
            if (!set.homeRegions().containsKey(region)) {
                reportDangling(sourced, field, ObjectKind.HOME_REGION, region.value());
            }
        }
    }

    private void reportDangling(SourcedObject sourced, String field, ObjectKind kind, String name) {
        String detail = "there is no " + kind.text() + " \"" + name + "\"";
        faults.add(sourced, field, Rule.DANGLING_REFERENCE, detail);
    }

    private void checkObjectApiRegion() {
        List<SourcedObject> hosts = new ArrayList<>();
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof HomeRegion region && region.hostsObjectApi()) {
                hosts.add(sourced);
            }
        }
        if (hosts.isEmpty()) {
            faults.add(
                    "",
                    ObjectKind.HOME_REGION.text(),
                    "hostsObjectApi",
                    Rule.OBJECT_API_REGION,
                    "found no home region that hosts the object API, required exactly one");
        }
        for (int i = 1; i < hosts.size(); i++) {
            if (hosts.get(i).object().label().equals(hosts.getFirst().object().label())) {
                continue; // Reported as a duplicate name.
            }
            String detail = hosts.getFirst().object().label() + " hosts the object API already";
            faults.add(hosts.get(i), "hostsObjectApi", Rule.OBJECT_API_REGION, detail);
        }
    }
}
