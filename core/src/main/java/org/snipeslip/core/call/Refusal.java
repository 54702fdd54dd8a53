package org.snipeslip.core.call;

import java.util.Set;
import org.snipeslip.core.id.RegionId;

/**
 * A typed answer that an instance gives itself.
 *
 * @param reason why
 * @param outcome what it says about the work
 * @param sent whether any byte of this submission may have reached a backend server
 * @param retryAfterMillis when a new submission makes sense, or 0 for "not stated"
 * @param serveIn the regions to go to instead, else empty
 */
public record Refusal(
        RefusalReason reason,
        Outcome outcome,
        boolean sent,
        long retryAfterMillis,
        Set<RegionId> serveIn) {
    /** Statuses that callers may read as "not run and never will be". */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int BAD_GATEWAY = 502;

    /** Copies the set. */
    public Refusal {
        serveIn = Set.copyOf(serveIn);
    }

    /**
     * Returns the HTTP status code: that of the reason, unless it would promise that a call which
     * may have run did not.
     *
     * @return the status
     */
    public int status() {
        return outcome == Outcome.UNKNOWN && PROMISES.contains(reason.status())
                ? BAD_GATEWAY
                : reason.status();
    }

    /**
     * A refusal before any byte was sent.
     *
     * @param reason why
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason) {
        return new Refusal(reason, Outcome.NOT_RUN, false, 0, Set.of());
    }

    /**
     * A refusal before any byte was sent, with the time of a useful new submission.
     *
     * @param reason why
     * @param retryAfterMillis when a new submission makes sense, in milliseconds
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, false, retryAfterMillis, Set.of());
    }

    /**
     * A failure after which the work may have run.
     *
     * @param reason why
     * @return the refusal
     */
    public static Refusal unknown(RefusalReason reason) {
        return new Refusal(reason, Outcome.UNKNOWN, true, 0, Set.of());
    }
}
