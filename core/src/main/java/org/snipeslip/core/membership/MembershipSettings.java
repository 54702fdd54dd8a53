package org.snipeslip.core.membership;

/**
 * Settings of failure detection.
 *
 * @param periodMillis time between two pings sent by an instance in good health
 * @param ackTimeoutMillis time to wait for the answer to a ping before other members are asked to
 *     ping the target
 * @param indirectProbeCount number of members asked to ping the target
 * @param suspicionPeriods number of periods in which a suspected member can refute, before scaling
 *     by the logarithm of the number of members
 * @param maxHealthScore highest local health score; the multiplier of periods and timeouts is the
 *     score plus 1
 * @param deadProbeIntervalMillis time between two pings of dead members
 * @param deadRetentionMillis time after which a dead member is removed from the member table
 * @param memberLimit maximum number of members, this instance included; further instances are
 *     ignored
 * @param listIntervalMillis time between two reads of the platform's instance list, before jitter
 */
public record MembershipSettings(
        long periodMillis,
        long ackTimeoutMillis,
        int indirectProbeCount,
        int suspicionPeriods,
        int maxHealthScore,
        long deadProbeIntervalMillis,
        long deadRetentionMillis,
        int memberLimit,
        long listIntervalMillis) {
    /**
     * Defaults. The maximum health score is below the 8 of the Lifeguard paper, because the pings
     * also carry the configuration generation, and their interval must not grow beyond a few
     * seconds.
     */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(1_000, 300, 3, 3, 3, 5_000, 3_600_000, 4_096, 30_000);
}
