package org.snipeslip.server.runtime;

import org.snipeslip.core.discovery.DiscoveredConfig;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.KnownInstances;
import org.snipeslip.server.operator.InstanceMetrics;

/** Gauges of what an instance with discovery knows of the store and of other instances. */
final class DiscoveryGauges {
    private DiscoveryGauges() {}

    static void register(DiscoveryInstance instance, boolean hasQuotas, InstanceMetrics metrics) {
        if (hasQuotas) {
            QuotaGauges.register(instance, metrics);
        }
        metrics.registerGauge("other_instances", instance::otherInstanceCount);
        KnownInstances known = instance.knownInstances();
        metrics.registerGauge("limits_shared_by_instances", () -> known.share().instances());
        metrics.registerGauge("has_part_in_limits", () -> known.share().counted() ? 1 : 0);
        metrics.registerGauge(
                "config_proof_age_millis", () -> instance.proofAgeMillis(System.nanoTime()));
        metrics.registerGauge("suspected_requests", instance::suspectCount);
        metrics.registerGauge("open_rollouts", instance::openRollouts);
        metrics.registerGauge("links_cut_off", () -> instance.isCutOff() ? 1 : 0);
        metrics.registerGauge("follows_peer", () -> instance.followsPeer() ? 1 : 0);
        metrics.registerGauge("config_version", () -> configVersion(instance));
    }

    private static long configVersion(DiscoveryInstance instance) {
        DiscoveredConfig config = instance.discoveredConfig();
        return config == null ? 0 : config.version();
    }
}
