package org.snipeslip.core.call;

import java.util.ArrayDeque;
import org.snipeslip.core.retry.LatencyQuantile;

/**
 * Calls that may get a hedge when their first try is slower than the service's p95. The delay is
 * nearly the same for all, so a queue in order of sending serves as the timer table.
 */
final class HedgeQueue {
    private static final double QUANTILE = 0.95;

    /** Calls beyond the bound get no hedge. */
    private static final int MAX_SIZE = 4_096;

    private static final long MIN_DELAY_NANOS = 1_000_000;

    private final LatencyQuantile latency = new LatencyQuantile(QUANTILE);
    private final ArrayDeque<Due> due = new ArrayDeque<>();

    void observe(long latencyNanos) {
        latency.observe(latencyNanos);
    }

    void add(CallState call, long nowNanos) {
        long delay = latency.nanos();
        if (delay >= 0 && due.size() < MAX_SIZE) {
            due.add(new Due(call, nowNanos + Math.max(MIN_DELAY_NANOS, delay)));
        }
    }

    /** Takes the next call whose hedge is due, or null. */
    CallState poll(long nowNanos) {
        dropEnded();
        Due first = due.peek();
        if (first == null || first.atNanos > nowNanos) {
            return null;
        }
        return due.poll().call;
    }

    long nextNanos() {
        dropEnded();
        return due.isEmpty() ? ShardTimer.NEVER : due.peek().atNanos;
    }

    private void dropEnded() {
        while (!due.isEmpty() && due.peek().call.isAnsweredOrEnded()) {
            due.poll();
        }
    }

    private record Due(CallState call, long atNanos) {}
}
