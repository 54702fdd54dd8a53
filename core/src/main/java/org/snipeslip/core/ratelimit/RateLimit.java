package org.snipeslip.core.ratelimit;

/** What a response says about the calls that its backend server accepts from all instances. */
public sealed interface RateLimit {
    /** Nothing is known, for example because there was no response or the value was malformed. */
    RateLimit UNKNOWN = new Unknown();

    /** The response names no limit. */
    RateLimit UNLIMITED = new Unlimited();

    /** See {@link #UNKNOWN}. */
    record Unknown() implements RateLimit {}

    /** See {@link #UNLIMITED}. */
    record Unlimited() implements RateLimit {}

    /**
     * The server accepts a number of calls each second.
     *
     * @param callsPerSecond sum over all instances, finite and at least 0
     */
    record CallsPerSecond(double callsPerSecond) implements RateLimit {
        /** Checks the range. */
        public CallsPerSecond {
            if (!(callsPerSecond >= 0) || Double.isInfinite(callsPerSecond)) {
                throw new IllegalArgumentException("rate of calls out of range: " + callsPerSecond);
            }
        }
    }
}
