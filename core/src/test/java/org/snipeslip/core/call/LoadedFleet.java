package org.snipeslip.core.call;

import java.util.Arrays;
import java.util.List;

/** A fleet under open-loop load whose latencies are measured. */
final class LoadedFleet extends FakeFleet {
    LoadedFleet(CallSettings settings, int instances, long seed, String... engineDomains) {
        super(settings, instances, seed, engineDomains);
    }

    /** Open-loop arrivals at exponential gaps to random engines. */
    void load(double callsPerSecond, long nanos, List<CallHead> mix) {
        long end = nowNanos + nanos;
        while (true) {
            long gap = (long) (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond);
            if (nowNanos + gap >= end) {
                runFor(end - nowNanos);
                return;
            }
            runFor(gap);
            arrive(random.nextInt(engines.size()), mix.get(random.nextInt(mix.size())));
        }
    }

    /** Latency of the relayed calls that arrived since a time, in milliseconds. */
    double latencyMillis(double quantile, long sinceNanos, String path) {
        long[] sorted =
                calls.values().stream()
                        .filter(c -> c.arrivedNanos >= sinceNanos && c.head.path().equals(path))
                        .filter(c -> c.relayedNanos > 0)
                        .mapToLong(c -> c.relayedNanos - c.arrivedNanos)
                        .toArray();
        Arrays.sort(sorted);
        return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))] / 1e6;
    }
}
