package org.snipeslip.server.runtime;

import java.util.function.ToLongFunction;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.quota.QuotaCounters;
import org.snipeslip.server.operator.InstanceMetrics;

/** Metrics of quotas, as sums over all organisations. */
final class QuotaGauges {
    private QuotaGauges() {}

    static void register(DiscoveryInstance instance, InstanceMetrics metrics) {
        register("quota_admitted_total", instance, metrics, QuotaCounters::admitted);
        register("quota_refused_total", instance, metrics, QuotaCounters::refused);
        register("quota_lent_calls", instance, metrics, QuotaCounters::lent);
        register("quota_borrowed_calls", instance, metrics, QuotaCounters::borrowed);
    }

    private static void register(
            String name,
            DiscoveryInstance instance,
            InstanceMetrics metrics,
            ToLongFunction<QuotaCounters> value) {
        metrics.registerGauge(
                name, () -> value.applyAsLong(instance.quotaCounters(System.nanoTime())));
    }
}
