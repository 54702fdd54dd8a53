package org.snipeslip.core.call;

import org.snipeslip.core.admission.ShareVerdict;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.suspect.Verdict;

/** Queues or refuses calls of one service that cannot be sent. Guarded by the shard's lock. */
final class ShardAdmission {
    private final ServerPool pool;
    private final ShardQueue queue;
    private final ShardCalls calls;
    private final DecisionRecorder decisions;
    private final ShardShares shares;

    ShardAdmission(
            ServerPool pool,
            ShardQueue queue,
            ShardCalls calls,
            DecisionRecorder decisions,
            ShardShares shares) {
        this.pool = pool;
        this.queue = queue;
        this.calls = calls;
        this.decisions = decisions;
        this.shares = shares;
    }

    void configure(ConfigSet config) {
        shares.configure(config);
    }

    /** Adds an arriving call to the open ones and counts it for its share. */
    void accept(CallState call, long nowNanos) {
        calls.add(call);
        shares.offered(call, nowNanos);
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
            refuseDropped(dropped, nowNanos, outbox);
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
    void refuseOverloaded(CallState call, long nowNanos, Outbox outbox) {
        shares.refused(call, nowNanos);
        calls.refuse(call, RefusalReason.OVERLOADED, pool.retryAfterMillis(), outbox);
    }

    /**
     * Refuses a call at once if its rank and organisation have used up their share of scarce room;
     * otherwise notes how it competes.
     *
     * @return whether it was refused
     */
    boolean refuseOverShare(CallState call, long nowNanos, Outbox outbox) {
        return switch (shares.decide(call, nowNanos, outbox)) {
            case ShareVerdict.Admit admit -> {
                call.preference = admit.preference();
                yield false;
            }
            case ShareVerdict.Refuse refuse -> {
                shares.refused(call, nowNanos);
                RefusalReason reason =
                        refuse.overShare()
                                ? RefusalReason.ORGANISATION_OVER_SHARE
                                : RefusalReason.OVERLOADED;
                calls.refuse(call, reason, shares.retryAfterMillis(refuse), outbox);
                yield true;
            }
        };
    }

    /** Refuses a call whose last try failed and that is not tried again. */
    void refuseFailed(CallState call, long nowNanos, Outbox outbox) {
        RefusalReason reason = CallCompletion.reasonOf(call.lastFailure);
        if (reason == RefusalReason.BACKEND_SERVER_REFUSED) {
            shares.refused(call, nowNanos);
        }
        calls.refuse(call, reason, 0, outbox);
    }

    /** Refuses a call whose server states without proof that it has not run. */
    void refuseUnproven(CallState call, Outbox outbox) {
        calls.refuse(call, RefusalReason.NOT_RUN_UNPROVEN, 0, outbox);
    }

    /** Refuses a call whose request crashes servers, or must wait until a server is idle. */
    void refuseSuspect(CallState call, Verdict verdict, long nowNanos, Outbox outbox) {
        if (verdict instanceof Verdict.Refuse refuse) {
            RefusalReason reason = RefusalReason.CRASHES_BACKEND_SERVERS;
            calls.refuse(call, reason, refuse.retryAfterMillis(), outbox);
        } else {
            calls.refuse(call, RefusalReason.OVERLOADED, pool.retryAfterMillis(), outbox);
        }
    }

    void refuseExpired(long nowNanos, Outbox outbox) {
        queue.removeExpired(nowNanos).forEach(dropped -> refuseDropped(dropped, nowNanos, outbox));
    }

    private void refuseDropped(ShardQueue.Dropped dropped, long nowNanos, Outbox outbox) {
        shares.refused(dropped.call(), nowNanos);
        long retryAfterMillis =
                dropped.reason() == RefusalReason.DEADLINE_EXCEEDED ? 0 : queue.retryAfterMillis();
        calls.refuse(dropped.call(), dropped.reason(), retryAfterMillis, outbox);
    }
}
