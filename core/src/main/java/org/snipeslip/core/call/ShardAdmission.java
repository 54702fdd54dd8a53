package org.snipeslip.core.call;

import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.suspect.Verdict;

/** Queues or refuses calls of one service that cannot be sent. Guarded by the shard's lock. */
final class ShardAdmission {
    private final ServerPool pool;
    private final ShardQueue queue;
    private final ShardCalls calls;
    private final DecisionRecorder decisions;

    ShardAdmission(
            ServerPool pool, ShardQueue queue, ShardCalls calls, DecisionRecorder decisions) {
        this.pool = pool;
        this.queue = queue;
        this.calls = calls;
        this.decisions = decisions;
    }

    /** Handles a call for which the last choice found no server. */
    void enqueueOrRefuse(CallState call, long nowNanos, Outbox outbox) {
        if (queue.isEmpty() && !pool.isBusy()) {
            refuseWithoutServer(call, nowNanos, outbox);
            return;
        }
        ShardQueue.Dropped dropped = queue.add(call, nowNanos);
        if (call.queueEntry != null) {
            decisions.recordQueued(call, pool.snapshot(nowNanos), outbox);
        }
        if (dropped != null) {
            refuseDropped(dropped, outbox);
        }
    }

    /** Refuses a call for which the last choice found no server, and waiting would not help. */
    void refuseWithoutServer(CallState call, long nowNanos, Outbox outbox) {
        if (calls.passOn(call, nowNanos, outbox)) {
            return;
        }
        if (!pool.rateLimitWait().isNeeded()) {
            RefusalReason reason = CallCompletion.reasonWithoutServer(call);
            calls.refuse(call, reason, pool.replacementMillis(), outbox);
            return;
        }
        RefusalReason reason =
                call.lastFailure == null
                        ? RefusalReason.RATE_LIMITED
                        : CallCompletion.reasonOf(call.lastFailure);
        calls.refuse(call, reason, pool.rateLimitWait().retryMillis(nowNanos), outbox);
    }

    /** Refuses a call that the last chosen server would answer too late. */
    void refuseOverloaded(CallState call, Outbox outbox) {
        calls.refuse(call, RefusalReason.OVERLOADED, pool.retryAfterMillis(), outbox);
    }

    /** Refuses a call whose request crashes servers, or must wait until a server is idle. */
    void refuseSuspect(CallState call, Verdict verdict, Outbox outbox) {
        if (verdict instanceof Verdict.Refuse refuse) {
            RefusalReason reason = RefusalReason.CRASHES_BACKEND_SERVERS;
            calls.refuse(call, reason, refuse.retryAfterMillis(), outbox);
        } else {
            refuseOverloaded(call, outbox);
        }
    }

    void refuseExpired(long nowNanos, Outbox outbox) {
        queue.removeExpired(nowNanos).forEach(dropped -> refuseDropped(dropped, outbox));
    }

    private void refuseDropped(ShardQueue.Dropped dropped, Outbox outbox) {
        long retryAfterMillis =
                dropped.reason() == RefusalReason.DEADLINE_EXCEEDED ? 0 : queue.retryAfterMillis();
        calls.refuse(dropped.call(), dropped.reason(), retryAfterMillis, outbox);
    }
}
