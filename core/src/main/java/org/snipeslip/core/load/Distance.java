package org.snipeslip.core.load;

/**
 * Network distance of a backend server from this instance. The penalty within the own region is
 * about one round trip between failure domains; that of another region is a round trip of 24 ms
 * plus a surcharge, because links between regions are billed by volume.
 */
public enum Distance {
    /** The same failure domain. */
    OWN_FAILURE_DOMAIN(0, 0),
    /** Another failure domain of the same region. */
    OWN_REGION(1_000_000, 1_000_000),
    /** Another region. */
    OTHER_REGION(24_000_000, 40_000_000);

    private final long roundTripNanos;
    private final long penaltyNanos;

    Distance(long roundTripNanos, long penaltyNanos) {
        this.roundTripNanos = roundTripNanos;
        this.penaltyNanos = penaltyNanos;
    }

    /**
     * Returns the part of a measured latency that is attributed to the network.
     *
     * @return the typical round trip in nanoseconds
     */
    public long roundTripNanos() {
        return roundTripNanos;
    }

    /**
     * Returns the penalty that is added to the expected response time.
     *
     * @return the penalty in nanoseconds
     */
    public long penaltyNanos() {
        return penaltyNanos;
    }
}
