package org.snipeslip.core.membership;

/**
 * Settings of failure detection.
 *
 * @param periodMillis time between two pings of an instance that is in good health
 * @param ackMillis wait for the answer to a ping before others are asked to ping
 * @param helpers members asked to ping in place of this instance
 * @param suspicionPeriods periods that a suspect has to refute, before scaling by the logarithm of
 *     the number of members
 * @param healthMax largest local health multiplier
 * @param deadProbeMillis time between two pings of a dead member
 * @param forgetMillis time after which a dead member is forgotten
 * @param memberLimit bound on the member table; further instances are ignored
 * @param listMillis time between two reads of the platform's instance list, before jitter
 */
public record MembershipSettings(
        long periodMillis,
        long ackMillis,
        int helpers,
        int suspicionPeriods,
        int healthMax,
        long deadProbeMillis,
        long forgetMillis,
        int memberLimit,
        long listMillis) {
    /**
     * Defaults. The health multiplier stays below the 8 of the Lifeguard paper, because the pings
     * also carry the configuration generation and must not stretch to more than a few seconds.
     */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(1_000, 300, 3, 3, 3, 5_000, 3_600_000, 4_096, 30_000);
}
