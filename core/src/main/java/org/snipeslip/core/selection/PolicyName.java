package org.snipeslip.core.selection;

/** The selection policies by name, so that one run can compare them. */
public enum PolicyName {
    /** Lowest expected time, computed from load, latency, errors and distance. */
    ADAPTIVE,
    /** Lowest expected time, computed from load reports that are requested before each call. */
    PROBED,
    /** Uniform random choice. */
    RANDOM,
    /** Round robin. */
    ROUND_ROBIN,
    /** Fewest calls of this instance in flight. */
    LEAST_IN_FLIGHT,
    /** Of two random servers, the one with fewer calls of this instance in flight. */
    TWO_CHOICES;

    /**
     * Tells whether adaptive concurrency limits, warm-up and hedges are used with the policy. The
     * baselines use only the connection limit, as in systems that have nothing but such a policy.
     *
     * @return true unless the policy is a baseline
     */
    public boolean isAdaptive() {
        return this == ADAPTIVE || this == PROBED;
    }
}
