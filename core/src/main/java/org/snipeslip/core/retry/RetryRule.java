package org.snipeslip.core.retry;

/** Decides whether a call may be sent again. It never allows a second execution. */
public final class RetryRule {
    private RetryRule() {}

    /**
     * Decides about a try after a failed one.
     *
     * @param idempotent whether a repeated call has the effect of one
     * @param mayHaveStarted whether any earlier try may have started the work
     * @param bodyReplayable whether the body can be sent again
     * @param bodyRead whether any of the body may have been sent
     * @param retriesLeft further tries that the call may use
     * @param remainingNanos time until the deadline
     * @return whether one more try is allowed
     */
    public static boolean mayRetry(
            boolean idempotent,
            boolean mayHaveStarted,
            boolean bodyReplayable,
            boolean bodyRead,
            int retriesLeft,
            long remainingNanos) {
        boolean safe = idempotent || !mayHaveStarted;
        boolean hasBody = bodyReplayable || !bodyRead;
        return safe && hasBody && retriesLeft > 0 && remainingNanos > 0;
    }

    /**
     * Decides about a try beside a slow one. Both may run, so the call must be idempotent.
     *
     * @param idempotent whether a repeated call has the effect of one
     * @param bodyReplayable whether the body can be sent again
     * @param retriesLeft further tries that the call may use
     * @param remainingNanos time until the deadline
     * @return whether a hedge is allowed
     */
    public static boolean mayHedge(
            boolean idempotent, boolean bodyReplayable, int retriesLeft, long remainingNanos) {
        return idempotent && bodyReplayable && retriesLeft > 0 && remainingNanos > 0;
    }
}
