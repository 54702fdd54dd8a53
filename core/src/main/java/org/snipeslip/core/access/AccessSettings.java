package org.snipeslip.core.access;

/**
 * How fresh the configuration must be for a call with an API key.
 *
 * @param maxProofAgeMillis greatest age of the newest proof that no newer configuration exists, so
 *     that a call may run with a known key; 0 if none is needed
 * @param maxRefusalAgeMillis greatest age of that proof for a key to be called unknown, which is
 *     the time within which a new configuration is in force everywhere; 0 if none is needed
 */
public record AccessSettings(long maxProofAgeMillis, long maxRefusalAgeMillis) {
    /** Calls need no proof. */
    public static final AccessSettings UNBOUNDED = new AccessSettings(0, 0);

    /**
     * Returns whether removed keys must not be accepted after a time.
     *
     * @return true if calls with a key need a proof
     */
    public boolean needsProof() {
        return maxProofAgeMillis > 0;
    }
}
