package org.snipeslip.core.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.RouteId;

/** Counts the responses of both versions since the order. */
final class VersionEvidence {
    /** More routes and servers than a service has; further ones are not told apart. */
    private static final int MAX_COUNTERS = 512;

    private static final RouteId OTHER_ROUTES = new RouteId("other");

    private final Map<VersionCounts.Key, Counter> counters = new LinkedHashMap<>();

    /**
     * Counts a try.
     *
     * @param key version, route and server
     * @param failed whether the server failed
     * @param nanos response time without the network, or a negative number if it says nothing
     */
    void add(VersionCounts.Key key, boolean failed, double nanos) {
        Counter counter = counters.get(key);
        if (counter == null) {
            VersionCounts.Key kept =
                    counters.size() < MAX_COUNTERS
                            ? key
                            : new VersionCounts.Key(key.onTarget(), OTHER_ROUTES, "");
            counter = counters.computeIfAbsent(kept, unused -> new Counter());
        }
        counter.answered += failed ? 0 : 1;
        counter.failed += failed ? 1 : 0;
        if (nanos >= 0) {
            counter.latencies[LatencyBuckets.of(nanos)]++;
        }
    }

    /** Counts only the response time of a try, which ended before its response was whole. */
    void addLatency(VersionCounts.Key key, double nanos) {
        Counter counter = counters.get(key);
        if (counter != null) {
            counter.latencies[LatencyBuckets.of(nanos)]++;
        }
    }

    /** Returns all counts. */
    List<VersionCounts> totals() {
        List<VersionCounts> totals = new ArrayList<>(counters.size());
        counters.forEach(
                (key, counter) -> {
                    List<Long> latencies = new ArrayList<>(LatencyBuckets.COUNT);
                    for (long count : counter.latencies) {
                        latencies.add(count);
                    }
                    totals.add(
                            new VersionCounts(
                                    key.onTarget(),
                                    key.route(),
                                    key.server(),
                                    counter.answered,
                                    counter.failed,
                                    latencies));
                });
        return totals;
    }

    /** Counts of one version on one route. */
    private static final class Counter {
        private final long[] latencies = new long[LatencyBuckets.COUNT];
        private long answered;
        private long failed;
    }
}
