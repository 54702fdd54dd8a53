package org.snipeslip.core.suspect;

/** Whether a request may be sent to a backend server. */
public sealed interface Verdict {
    /** The verdict on a request that is not suspected. */
    Verdict UNSUSPECTED = new Run(0, 0);

    /**
     * The request may run like any other.
     *
     * @param epoch epoch of the suspicion
     * @param level its level, 0 or 1
     */
    record Run(long epoch, int level) implements Verdict {}

    /**
     * The request may run once more, on an idle server and without repetition.
     *
     * @param epoch epoch of the suspicion
     * @param level its level
     */
    record RunAlone(long epoch, int level) implements Verdict {}

    /**
     * The request is refused.
     *
     * @param retryAfterMillis time until it is tried again
     */
    record Refuse(long retryAfterMillis) implements Verdict {}
}
