package org.snipeslip.core.quota;

/** Decision whether a call is within the quota of its organisation. */
public sealed interface Admission {
    /** The call is within the quota and was counted. */
    record Admitted() implements Admission {
        static final Admitted ADMITTED = new Admitted();
    }

    /**
     * The part of this instance is used up, and others were asked for a loan. The call can be tried
     * again when they have answered.
     *
     * @param untilNanos time after which it is refused
     */
    record Waiting(long untilNanos) implements Admission {}

    /**
     * The quota is used up, as far as this instance knows.
     *
     * @param retryAfterMillis delay after which there may be room
     */
    record Refused(long retryAfterMillis) implements Admission {}
}
