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
import org.snipeslip.core.rollout.RolloutEntry;

/**
 * Combines configuration, discovered servers and evacuations into one set of configuration objects.
 * The version of the configuration never decreases. Generations number the sets within this
 * process.
 */
final class ConfigSetBuilder {
    private final DiscoveryEngineSettings settings;
    private final Map<String, WarmUpEnd> warmUpEndByServer = new HashMap<>();

    /** Written under the lock of the engine; read without it for each call. */
    private volatile DiscoveredConfig config;

    private Generation generation = Generation.NONE;

    ConfigSetBuilder(DiscoveryEngineSettings settings) {
        this.settings = settings;
    }

    /** Replaces the configuration if its version is newer; returns whether it was replaced. */
    boolean updateConfig(DiscoveredConfig newConfig) {
        if (config != null && newConfig.version() <= config.version()) {
            return false;
        }
        config = newConfig.completedFrom(config);
        return true;
    }

    /** Returns the configuration in force, or null before the first one. */
    DiscoveredConfig config() {
        return config;
    }

    /** Builds the next set without rollouts. */
    ConfigSet build(
            Map<String, DiscoveryObject> servers,
            Map<String, DiscoveryObject> evacuations,
            long nowNanos) {
        return build(servers, evacuations, Map.of(), nowNanos);
    }

    /** Builds the set of the next generation; a configuration must be in force. */
    ConfigSet build(
            Map<String, DiscoveryObject> servers,
            Map<String, DiscoveryObject> evacuations,
            Map<ServiceId, RolloutEntry> rollouts,
            long nowNanos) {
        generation = generation.next();
        Set<FailureDomainId> evacuated = evacuatedDomains(evacuations);
        List<ConfigObject> objects = new ArrayList<>();
        Set<RegionId> regions = new HashSet<>(settings.regions().values());
        regions.forEach(region -> objects.add(new HomeRegion(region, false)));
        settings.regions()
                .forEach(
                        (domain, region) ->
                                objects.add(
                                        new FailureDomain(
                                                domain, region, !evacuated.contains(domain))));
        Map<ServiceId, List<BackendServer>> serversByService = new LinkedHashMap<>();
        Map<ServiceId, ServiceConfig> serviceConfigs = new HashMap<>();
        for (ServiceConfig serviceConfig : config.services()) {
            serviceConfigs.put(serviceConfig.id(), serviceConfig);
            serversByService.put(serviceConfig.id(), new ArrayList<>());
        }
        warmUpEndByServer.keySet().retainAll(servers.keySet());
        for (DiscoveryObject object : servers.values()) {
            if (object.record() instanceof DiscoveryRecord.Server(DiscoveredServer server)) {
                ServiceConfig serviceConfig = serviceConfigs.get(server.service());
                // An entry may name a service or a failure domain that is not configured here.
                if (serviceConfig != null
                        && settings.regions().containsKey(server.failureDomain())) {
                    serversByService
                            .get(serviceConfig.id())
                            .add(toBackendServer(object, server, serviceConfig, nowNanos));
                }
            }
        }
        serversByService.forEach(
                (service, backendServers) ->
                        objects.add(
                                new Service(
                                        service,
                                        backendServers,
                                        serviceConfigs.get(service).healthPath(),
                                        rollouts.get(service))));
        objects.addAll(config.organisations());
        objects.addAll(config.routes());
        return ConfigSet.of(generation, objects);
    }

    private static Set<FailureDomainId> evacuatedDomains(Map<String, DiscoveryObject> evacuations) {
        Set<FailureDomainId> evacuated = new HashSet<>();
        for (DiscoveryObject object : evacuations.values()) {
            if (object.record() instanceof DiscoveryRecord.Evacuation(FailureDomainId domain)) {
                evacuated.add(domain);
            }
        }
        return evacuated;
    }

    private BackendServer toBackendServer(
            DiscoveryObject object,
            DiscoveredServer server,
            ServiceConfig serviceConfig,
            long nowNanos) {
        double callLimit =
                serviceConfig.warmUpCallsPerSecond() * settings.warmUpFactor()
                        + settings.warmUpSlack();
        int callsPerSecond = serviceConfig.warmUpNanos() > 0 ? (int) Math.max(1, callLimit) : 0;
        long coldUntil = coldUntilNanos(object, server, nowNanos);
        return new BackendServer(
                server.id(),
                server.host(),
                server.port(),
                server.failureDomain(),
                server.slots(),
                serviceConfig.connectionLimit(),
                server.draining(),
                server.incarnation(),
                new WarmUpPlan(coldUntil, serviceConfig.warmUpNanos(), callsPerSecond),
                server.version());
    }

    /**
     * Returns the end of the warm-up. An entry states the remaining warm-up as of its last change,
     * so the end is computed once for each version of it, from the time at which it is first seen.
     * The same version has another revision after the store was restored.
     */
    private long coldUntilNanos(DiscoveryObject object, DiscoveredServer server, long nowNanos) {
        if (server.warmUpLeftNanos() <= 0) {
            return WarmUpPlan.WARM;
        }
        WarmUpEnd known = warmUpEndByServer.get(object.name());
        if (known == null || !known.isOf(object, server)) {
            known = new WarmUpEnd(object.revision(), server, nowNanos + server.warmUpLeftNanos());
            warmUpEndByServer.put(object.name(), known);
        }
        return known.endNanos;
    }

    /** End of a warm-up as computed for one version of an entry. */
    private record WarmUpEnd(StoreRevision revision, DiscoveredServer server, long endNanos) {
        boolean isOf(DiscoveryObject object, DiscoveredServer other) {
            boolean sameEra = revision.era() == object.revision().era();
            return sameEra ? revision.equals(object.revision()) : server.equals(other);
        }
    }
}
