package org.snipeslip.core.call;

import java.util.Set;
import org.snipeslip.core.id.RegionId;

/**
 * A response that the instance creates itself because a call was not served.
 *
 * @param outcome whether the work may have run
 * @param mayHaveSent whether any byte of this submission may have reached a backend server
 * @param retryAfterMillis delay after which a new submission makes sense, or 0 if not stated
 * @param allowedRegions the regions that may serve the call if this one may not, else empty
 */
public record Refusal(
        RefusalReason reason,
        Outcome outcome,
        boolean mayHaveSent,
        long retryAfterMillis,
        Set<RegionId> allowedRegions) {
    /** Statuses that callers may read as a statement that the call did not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final int BAD_GATEWAY = 502;

    /** Copies the set of regions. */
    public Refusal {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Returns the HTTP status code. This is the code of the reason, or 502 if that code would state
     * that a call which may have run did not.
     *
     * @return the status code
     */
    public int status() {
        return outcome == Outcome.UNKNOWN && statesNotRun(reason.status())
                ? BAD_GATEWAY
                : reason.status();
    }

    /**
     * Returns whether callers may read a status as a statement that the call did not run and never
     * will.
     *
     * @param status status code of a response
     * @return true if it may be sent only for a call that did not run, or that may run again
     */
    public static boolean statesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Creates a refusal of a call of which no byte was sent to a backend server.
     *
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason) {
        return new Refusal(reason, Outcome.NOT_RUN, false, 0, Set.of());
    }

    /**
     * Creates a refusal of a call of which no byte was sent to a backend server.
     *
     * @param retryAfterMillis delay after which a new submission makes sense; 0 if not stated
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, false, retryAfterMillis, Set.of());
    }

    /**
     * Creates a refusal of a call whose work may have run.
     *
     * @return the refusal
     */
    public static Refusal unknown(RefusalReason reason) {
        return new Refusal(reason, Outcome.UNKNOWN, true, 0, Set.of());
    }
}
