package org.snipeslip.core.call;

import java.util.ArrayDeque;
import org.snipeslip.core.retry.LatencyQuantile;

/**
 * Calls that become due for a hedge when their first try takes longer than the 95th percentile of
 * the service's latency. The delay is nearly the same for all calls, so a FIFO queue in the order
 * of sending replaces a priority queue. Guarded by the shard's lock.
 */
final class HedgeQueue {
    private static final double QUANTILE = 0.95;

    /** Calls that arrive while the queue is full get no hedge. */
    private static final int MAX_SIZE = 4_096;

    private static final long MIN_DELAY_NANOS = 1_000_000;

    private final LatencyQuantile latency = new LatencyQuantile(QUANTILE);
    private final ArrayDeque<PendingHedge> pending = new ArrayDeque<>();

    void observe(long latencyNanos) {
        latency.observe(latencyNanos);
    }

    void add(CallState call, long nowNanos) {
        long delayNanos = latency.nanos();
        if (delayNanos >= 0 && pending.size() < MAX_SIZE) {
            pending.add(new PendingHedge(call, nowNanos + Math.max(MIN_DELAY_NANOS, delayNanos)));
        }
    }

    /** Removes and returns the next call whose hedge is due, or returns null. */
    CallState pollDue(long nowNanos) {
        discardFinished();
        PendingHedge next = pending.peek();
        if (next == null || next.atNanos > nowNanos) {
            return null;
        }
        return pending.poll().call;
    }

    long nextDueNanos() {
        discardFinished();
        return pending.isEmpty() ? ShardTimer.NEVER : pending.peek().atNanos;
    }

    private void discardFinished() {
        while (!pending.isEmpty() && pending.peek().call.isAnsweredOrEnded()) {
            pending.poll();
        }
    }

    private record PendingHedge(CallState call, long atNanos) {}
}
