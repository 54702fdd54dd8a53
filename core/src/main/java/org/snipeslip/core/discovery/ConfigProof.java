package org.snipeslip.core.discovery;

/**
 * What is known about the newest configuration: every configuration that the store acknowledged
 * before a time is at most as new as one version. A configuration in force of that version, or a
 * later one, is proven as of that time.
 *
 * @param atNanos steady-clock time at which the question was sent whose answer showed it, or {@link
 *     Long#MIN_VALUE} if nothing is proven
 * @param version version of the configuration that was then read
 */
public record ConfigProof(long atNanos, long version) {
    /** Nothing is proven. */
    public static final ConfigProof NONE = new ConfigProof(Long.MIN_VALUE, -1);

    /**
     * Returns whether there is a proof.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return atNanos != Long.MIN_VALUE;
    }

    /**
     * Returns the age of the proof.
     *
     * @param nowNanos the current steady-clock time
     * @return the age in milliseconds, rounded up, or {@link
     *     DiscoveryResponse.PeerChanges#NO_PROOF}
     */
    long ageMillis(long nowNanos) {
        return isKnown()
                ? Math.ceilDiv(Math.max(0, nowNanos - atNanos), 1_000_000)
                : DiscoveryResponse.PeerChanges.NO_PROOF;
    }
}
