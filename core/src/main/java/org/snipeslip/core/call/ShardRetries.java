package org.snipeslip.core.call;

import org.snipeslip.core.retry.RetryBudget;
import org.snipeslip.core.retry.RetryRule;

/** Decides about further tries of the calls of one service. Guarded by the shard's lock. */
final class ShardRetries {
    private final CallSettings settings;
    private final RetryBudget budget;

    ShardRetries(CallSettings settings) {
        this.settings = settings;
        this.budget =
                settings.retryBurst() > 0
                        ? new RetryBudget(settings.retryPercent(), 0)
                        : new RetryBudget(settings.retryPercent());
    }

    /** Takes the instances that share the tries that may be saved up. */
    void fleet(FleetShare share) {
        if (settings.retryBurst() > 0) {
            budget.bound((double) settings.retryBurst() / share.instances());
        }
    }

    void earn() {
        budget.earn();
    }

    /**
     * Decides about a try after a failed one and takes its token; one that was not sent is free.
     */
    boolean takeRetry(CallState call, long nowNanos) {
        TryFailure failure = call.lastFailure;
        return RetryRule.mayRetry(
                        call.idempotent,
                        call.mayHaveStarted,
                        call.head.bodyReplayable(),
                        call.bytesSent,
                        triesLeft(call),
                        call.deadlineNanos - nowNanos)
                && failure != TryFailure.REQUEST_BODY_BROKEN
                && (!failure.mayHaveSent() || budget.take());
    }

    /** Decides whether a try beside the open one is allowed, but for its token. */
    boolean mayHedge(CallState call, long nowNanos) {
        return call.openTries() == 1
                && RetryRule.mayHedge(
                        call.idempotent,
                        call.head.bodyReplayable(),
                        triesLeft(call),
                        call.deadlineNanos - nowNanos);
    }

    boolean takeHedge() {
        return budget.take();
    }

    private int triesLeft(CallState call) {
        return Math.min(call.retriesLeft, settings.maxTries() - call.tries.size());
    }
}
