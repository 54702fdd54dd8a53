package org.snipeslip.core.selection;

/** Names the selection policies, so that they can be compared in one run. */
public enum PolicyName {
    /** Expected time from load, latency, errors and distance. */
    ADAPTIVE,
    /** Expected time from load that is asked for each call before it is sent. */
    PROBED,
    /** Uniform random choice. */
    RANDOM,
    /** In turn. */
    ROUND_ROBIN,
    /** Fewest own calls in flight. */
    LEAST_IN_FLIGHT,
    /** The one with fewer own calls in flight of two random ones. */
    TWO_CHOICES;

    /**
     * Tells whether adaptive limits, warm-up and hedges accompany the policy. The baselines run
     * with the connection limit only, as they do where they are used alone.
     *
     * @return true for the policies that are no baselines
     */
    public boolean isAdaptive() {
        return this == ADAPTIVE || this == PROBED;
    }
}
