package org.snipeslip.core.retry;

/**
 * Decides whether a call may be sent again. A call that is not idempotent is never sent again if an
 * earlier try may have started it, so it is executed at most once.
 */
public final class RetryRule {
    private RetryRule() {}

    /**
     * Tells whether a call may be retried after a failed try.
     *
     * @param idempotent whether repeating the call has the same effect as sending it once
     * @param mayHaveStarted whether a backend server may have started to process an earlier try
     * @param bodyReplayable whether the body can be sent again
     * @param bodyRead whether a part of the body may have been sent already
     * @param retriesLeft number of retries and hedges that the call may still use
     * @param remainingNanos time until the deadline in nanoseconds
     * @return whether a retry is allowed
     */
    public static boolean mayRetry(
            boolean idempotent,
            boolean mayHaveStarted,
            boolean bodyReplayable,
            boolean bodyRead,
            int retriesLeft,
            long remainingNanos) {
        boolean safe = idempotent || !mayHaveStarted;
        boolean bodyAvailable = bodyReplayable || !bodyRead;
        return safe && bodyAvailable && retriesLeft > 0 && remainingNanos > 0;
    }

    /**
     * Tells whether a hedge may be sent while an earlier try is slow to respond. Both tries may be
     * executed, so the call must be idempotent.
     *
     * @param idempotent whether repeating the call has the same effect as sending it once
     * @param bodyReplayable whether the body can be sent again
     * @param retriesLeft number of retries and hedges that the call may still use
     * @param remainingNanos time until the deadline in nanoseconds
     * @return whether a hedge is allowed
     */
    public static boolean mayHedge(
            boolean idempotent, boolean bodyReplayable, int retriesLeft, long remainingNanos) {
        return idempotent && bodyReplayable && retriesLeft > 0 && remainingNanos > 0;
    }
}
