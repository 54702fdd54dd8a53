package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.ServiceId;

/**
 * Joins configuration, discovered servers and evacuations into one set of objects. The version of
 * the configuration never goes back; generations number the sets of this process.
 */
final class FleetView {
    private final FleetSettings settings;
    private final Map<String, ColdUntil> coldUntilByServer = new HashMap<>();

    /** Written under the lock of the engine; read for each call without it. */
    private volatile FleetConfig config;

    private Generation generation = Generation.NONE;

    FleetView(FleetSettings settings) {
        this.settings = settings;
    }

    /** Takes a configuration unless a newer one is in force; returns whether it did. */
    boolean configure(FleetConfig newConfig) {
        if (config != null && newConfig.version() <= config.version()) {
            return false;
        }
        config = newConfig;
        return true;
    }

    /** Returns the configuration in force, or null. */
    FleetConfig config() {
        return config;
    }

    /** Builds the next set. */
    ConfigSet next(
            Map<String, FleetObject> servers, Map<String, FleetObject> evacuations, long nowNanos) {
        generation = generation.next();
        Set<FailureDomainId> evacuated = evacuated(evacuations);
        List<ConfigObject> objects = new ArrayList<>();
        Set<RegionId> regions = new HashSet<>(settings.regions().values());
        regions.forEach(region -> objects.add(new HomeRegion(region, false)));
        settings.regions()
                .forEach(
                        (domain, region) ->
                                objects.add(
                                        new FailureDomain(
                                                domain, region, !evacuated.contains(domain))));
        Map<ServiceId, List<BackendServer>> byService = new LinkedHashMap<>();
        Map<ServiceId, ServicePlan> plans = new HashMap<>();
        for (ServicePlan plan : config.services()) {
            plans.put(plan.id(), plan);
            byService.put(plan.id(), new ArrayList<>());
        }
        coldUntilByServer.keySet().retainAll(servers.keySet());
        for (FleetObject object : servers.values()) {
            if (object.record() instanceof FleetRecord.Server(DiscoveredServer server)) {
                ServicePlan plan = plans.get(server.service());
                // An entry may name a service or a failure domain that is not known here.
                if (plan != null && settings.regions().containsKey(server.failureDomain())) {
                    byService.get(plan.id()).add(serverOf(object, server, plan, nowNanos));
                }
            }
        }
        byService.forEach(
                (service, list) ->
                        objects.add(new Service(service, list, plans.get(service).healthPath())));
        objects.addAll(config.routes());
        return ConfigSet.of(generation, objects);
    }

    private static Set<FailureDomainId> evacuated(Map<String, FleetObject> evacuations) {
        Set<FailureDomainId> evacuated = new HashSet<>();
        for (FleetObject object : evacuations.values()) {
            if (object.record() instanceof FleetRecord.Evacuation(FailureDomainId domain)) {
                evacuated.add(domain);
            }
        }
        return evacuated;
    }

    private BackendServer serverOf(
            FleetObject object, DiscoveredServer server, ServicePlan plan, long nowNanos) {
        double bound =
                plan.warmUpCallsPerSecond() * settings.warmUpFactor() + settings.warmUpSlack();
        int callsPerSecond = plan.warmUpNanos() > 0 ? (int) Math.max(1, bound) : 0;
        long coldUntil = coldUntilNanos(object, server, nowNanos);
        return new BackendServer(
                server.id(),
                server.host(),
                server.port(),
                server.failureDomain(),
                server.slots(),
                plan.connectionLimit(),
                server.draining(),
                server.incarnation(),
                new WarmUpPlan(coldUntil, plan.warmUpNanos(), callsPerSecond));
    }

    /**
     * An entry says how much of the warm-up is left at its last change, which was read just now.
     */
    private long coldUntilNanos(FleetObject object, DiscoveredServer server, long nowNanos) {
        if (server.warmUpLeftNanos() <= 0) {
            return WarmUpPlan.WARM;
        }
        ColdUntil known = coldUntilByServer.get(object.name());
        if (known == null || known.revision != object.revision()) {
            known = new ColdUntil(object.revision(), nowNanos + server.warmUpLeftNanos());
            coldUntilByServer.put(object.name(), known);
        }
        return known.nanos;
    }

    /** End of a warm-up as read from one revision of an entry. */
    private record ColdUntil(long revision, long nanos) {}
}
