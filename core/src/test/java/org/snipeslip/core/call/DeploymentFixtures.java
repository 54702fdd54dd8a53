package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.routing.HomeRegions;
import org.snipeslip.core.routing.RouteTable;

/** Configurations and calls for {@link FakeDeployment}: four failure domains in three regions. */
final class DeploymentFixtures {
    static final String[] DOMAINS = {"a1", "a2", "b1", "c1"};
    static final ServiceId SERVICE = new ServiceId("s");

    private static final long DOMAIN_DELAY_NANOS = 500_000;
    private static final long REGION_DELAY_NANOS = 12_000_000;

    private DeploymentFixtures() {}

    static RegionId regionOf(FailureDomainId domain) {
        return new RegionId(domain.value().substring(0, 1));
    }

    static long delayNanos(FailureDomainId from, BackendServer server) {
        if (from.equals(server.failureDomain())) {
            return DOMAIN_DELAY_NANOS / 10;
        }
        boolean near = regionOf(from).equals(regionOf(server.failureDomain()));
        return near ? DOMAIN_DELAY_NANOS : REGION_DELAY_NANOS;
    }

    static BackendServer server(String name, String domain, int slots, boolean draining) {
        FailureDomainId id = new FailureDomainId(domain);
        return new BackendServer(
                new BackendServerId(name), "127.0.0.1", 1, id, slots, 220, draining);
    }

    /** Returns one start of a server with two slots in failure domain a1. */
    static BackendServer server(int number, long incarnation, boolean draining) {
        BackendServer server = server("s" + number, DOMAINS[0], 2, draining);
        return new BackendServer(
                server.id(),
                server.host(),
                server.port(),
                server.failureDomain(),
                server.slots(),
                server.connectionLimit(),
                draining,
                incarnation,
                WarmUpPlan.NONE);
    }

    static List<BackendServer> servers(int count, int slots, String... domains) {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server("s" + i, domains[i % domains.length], slots, false));
        }
        return servers;
    }

    static ConfigSet config(
            long generation, List<BackendServer> servers, Set<String> outOfService) {
        Map<FailureDomainId, FailureDomain> domains = new HashMap<>();
        for (String name : DOMAINS) {
            FailureDomainId id = new FailureDomainId(name);
            domains.put(id, new FailureDomain(id, regionOf(id), !outOfService.contains(name)));
        }
        Map<OrganisationId, Organisation> organisations = new HashMap<>();
        addOrganisation(organisations, "big", Set.of());
        addOrganisation(organisations, "small", Set.of());
        addOrganisation(organisations, "home-b", Set.of(new RegionId("b")));
        Map<RouteId, Route> routes = new HashMap<>();
        addRoute(routes, "/free", CallClass.INTERACTIVE, Set.of());
        addRoute(routes, "/batch", CallClass.BATCH, Set.of());
        addRoute(routes, "/home", CallClass.INTERACTIVE, Set.of(new RegionId("a")));
        return new ConfigSet(
                new Generation(generation),
                Map.of(),
                domains,
                organisations,
                Map.of(SERVICE, new Service(SERVICE, servers)),
                routes);
    }

    static CallHead get(String path, String organisation) {
        return head("GET", path, organisation, null);
    }

    static CallHead post(String path, String key) {
        return head("POST", path, null, key);
    }

    /** Computes the home regions of a call independently of the engine's code. */
    static HomeRegions homeRegions(ConfigSet config, CallHead head) {
        Route route = new RouteTable(config).match(head.host(), head.path(), "GET").orElseThrow();
        Set<RegionId> regions = new HashSet<>(route.homeRegions());
        if (head.organisation() != null) {
            Set<RegionId> organisationRegions =
                    config.organisations().get(head.organisation()).homeRegions();
            if (regions.isEmpty()) {
                regions.addAll(organisationRegions);
            } else if (!organisationRegions.isEmpty()) {
                regions.retainAll(organisationRegions);
                return new HomeRegions(true, regions);
            }
        }
        return new HomeRegions(!regions.isEmpty(), regions);
    }

    private static CallHead head(String method, String path, String organisation, String key) {
        return new CallHead(
                method,
                "h",
                path,
                organisation == null ? null : new OrganisationId(organisation),
                key == null ? null : new IdempotencyKey(key),
                "f",
                0,
                0,
                -1,
                true);
    }

    private static void addOrganisation(
            Map<OrganisationId, Organisation> organisations, String name, Set<RegionId> regions) {
        OrganisationId id = new OrganisationId(name);
        organisations.put(id, new Organisation(id, regions, 1));
    }

    private static void addRoute(
            Map<RouteId, Route> routes, String path, CallClass callClass, Set<RegionId> regions) {
        RouteId id = new RouteId(path.substring(1));
        routes.put(
                id,
                new Route(
                        id,
                        "*",
                        path,
                        Set.of(),
                        SERVICE,
                        callClass,
                        Route.SAFE_METHODS,
                        regions,
                        1_000));
    }
}
