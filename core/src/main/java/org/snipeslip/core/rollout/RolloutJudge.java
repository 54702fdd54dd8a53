package org.snipeslip.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Adds up the reports of all instances on one order, and judges the sums. */
final class RolloutJudge {
    /** A report is recent for longer than it takes an instance to find another judge. */
    private static final long RECENT_NANOS = 3_000_000_000L;

    private final RolloutJudgement judgement = new RolloutJudgement();
    private final Map<Reporter, Received> received = new HashMap<>();

    /** Adds a report; an older one than the last of its instance changes nothing. */
    void add(RolloutReport report, long nowNanos) {
        Received known =
                received.computeIfAbsent(
                        new Reporter(report.instance(), report.incarnation()),
                        unused -> new Received());
        if (report.sequence() <= known.sequence) {
            return;
        }
        known.sequence = report.sequence();
        known.step = report.step();
        known.startedNanos =
                Math.min(known.startedNanos, nowNanos - report.elapsedMillis() * 1_000_000);
        known.receivedNanos = nowNanos;
        for (VersionCounts counts : report.counts()) {
            VersionCounts before = known.counts.put(counts.key(), counts);
            double[] latencies = new double[LatencyBuckets.COUNT];
            for (int i = 0; i < latencies.length; i++) {
                latencies[i] = at(counts.latencies(), i);
                latencies[i] -= before == null ? 0 : at(before.latencies(), i);
            }
            judgement.add(
                    counts.key(),
                    counts.answered() - (before == null ? 0 : before.answered()),
                    counts.failed() - (before == null ? 0 : before.failed()),
                    latencies);
        }
    }

    private static long at(List<Long> counts, int index) {
        return index < counts.size() ? counts.get(index) : 0;
    }

    void evaluate(long nowNanos) {
        judgement.evaluate(nowNanos);
    }

    boolean isBad() {
        return judgement.isBad();
    }

    boolean isGood() {
        return judgement.isGood();
    }

    String describe() {
        return judgement.describe();
    }

    /** Returns the latest step that any instance has reported. */
    RolloutStep latestStep() {
        return received.values().stream()
                .map(each -> each.step)
                .max(RolloutStep::compareTo)
                .orElse(RolloutStep.CANARY);
    }

    /** Returns whether all instances that were heard recently follow a step. */
    boolean allFollow(RolloutStep step, long nowNanos) {
        return received.values().stream()
                .filter(each -> nowNanos - each.receivedNanos <= RECENT_NANOS)
                .allMatch(each -> each.step.compareTo(step) >= 0);
    }

    /** Returns whether others than this instance were heard recently. */
    boolean hearsOthers(String self, long nowNanos) {
        return received.entrySet().stream()
                .anyMatch(
                        each ->
                                !each.getKey().instance.equals(self)
                                        && nowNanos - each.getValue().receivedNanos
                                                <= RECENT_NANOS);
    }

    /** Returns when the first instance has seen the order, which others may have seen later. */
    long startedNanos(long nowNanos) {
        return received.values().stream()
                .mapToLong(each -> each.startedNanos)
                .min()
                .orElse(nowNanos);
    }

    /** One start of an instance; what it has counted before a restart still holds. */
    private record Reporter(String instance, long incarnation) {}

    /** The last report of an instance. */
    private static final class Received {
        private final Map<VersionCounts.Key, VersionCounts> counts = new HashMap<>();
        private long sequence = -1;
        private RolloutStep step = RolloutStep.CANARY;
        private long startedNanos = Long.MAX_VALUE;
        private long receivedNanos;
    }
}
