package org.snipeslip.core.call;

import org.snipeslip.core.instance.Outbox;

/** Lets calls of one service wait, or refuses them. Guarded by the shard's lock. */
final class ShardAdmission {
    private final ServerPool pool;
    private final ShardQueue queue;
    private final ShardCalls calls;
    private final Decisions decisions;

    ShardAdmission(ServerPool pool, ShardQueue queue, ShardCalls calls, Decisions decisions) {
        this.pool = pool;
        this.queue = queue;
        this.calls = calls;
        this.decisions = decisions;
    }

    /** Takes a call for which the last choice found no server. */
    void waitOrRefuse(CallState call, long nowNanos, Outbox outbox) {
        if (queue.isEmpty() && !pool.isBusy()) {
            calls.refuse(call, CallEnds.reasonWhenNone(call), 0, outbox);
            return;
        }
        ShardQueue.Dropped dropped = queue.add(call, nowNanos);
        if (call.waiting != null) {
            decisions.queued(call, pool.snapshot(nowNanos), outbox);
        }
        if (dropped != null) {
            drop(dropped, outbox);
        }
    }

    /** Refuses a call that the last choice would answer too late. */
    void refuseBusy(CallState call, Outbox outbox) {
        calls.refuse(call, RefusalReason.OVERLOADED, pool.retryMillis(), outbox);
    }

    void dropExpired(long nowNanos, Outbox outbox) {
        queue.removeExpired(nowNanos).forEach(dropped -> drop(dropped, outbox));
    }

    private void drop(ShardQueue.Dropped dropped, Outbox outbox) {
        long retryAfter =
                dropped.reason() == RefusalReason.DEADLINE_EXCEEDED ? 0 : queue.retryAfterMillis();
        calls.refuse(dropped.call(), dropped.reason(), retryAfter, outbox);
    }
}
