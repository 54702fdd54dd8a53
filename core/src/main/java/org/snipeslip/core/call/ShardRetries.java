package org.snipeslip.core.call;

import org.snipeslip.core.retry.RetryBudget;
import org.snipeslip.core.retry.RetryRule;

/** Decides about retries and hedges of the calls of one service. Guarded by the shard's lock. */
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

    /** Updates this instance's share of the retries and hedges that may be accumulated. */
    void setInstanceShare(InstanceShare share) {
        if (settings.retryBurst() > 0) {
            budget.setCapacity(share.evenPart(settings.retryBurst()));
        }
    }

    void earnToken() {
        budget.earn();
    }

    /**
     * Returns whether a call may be retried after a failed try, and takes a token of the retry
     * budget if so. A retry is free of charge if no byte of the failed try was sent.
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

    /** Returns whether a hedge is allowed, apart from the token that {@link #takeHedge} takes. */
    boolean mayHedge(CallState call, long nowNanos) {
        return call.openTryCount() == 1
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
