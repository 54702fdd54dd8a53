package org.snipeslip.core.quota;

/**
 * For how long parts of quotas are lent. What is passed on must end before the lease under which it
 * was lent, with time for a renewal.
 */
final class QuotaLease {
    private static final long OWN_PART_MILLIS = 4_000;
    private static final long REGION_MILLIS = 2_900;
    private static final long MEMBER_MILLIS = 1_800;

    private QuotaLease() {}

    static long millis(QuotaAsk.Kind kind) {
        return switch (kind) {
            case OWN_PART -> OWN_PART_MILLIS;
            case REGION -> REGION_MILLIS;
            case MEMBER -> MEMBER_MILLIS;
        };
    }

    /** Returns the longest lease. */
    static long maxMillis() {
        return OWN_PART_MILLIS;
    }
}
