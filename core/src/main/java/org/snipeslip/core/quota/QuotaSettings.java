package org.snipeslip.core.quota;

import org.snipeslip.core.config.CallQuota;

/**
 * What the calls of an organisation may exceed its quota by, in any window.
 *
 * @param windowMillis length of the window
 * @param overRatio part of the quota of a window that may come in addition
 * @param slack calls that may come in addition in each window
 */
public record QuotaSettings(long windowMillis, double overRatio, double slack) {
    /**
     * Parts of the tolerated excess that are divided among the instances that use their own parts,
     * and among those that have just started. The rest is for instances that do not know the same
     * members.
     */
    private static final double OWNERS_EXCESS = 0.5;

    private static final double STARTERS_EXCESS = 0.4;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the calls of a window that are divided among the instances. */
    int dividedCalls(CallQuota quota) {
        return bounded(calls(quota) + OWNERS_EXCESS * excess(quota));
    }

    /** Returns the calls of a window that are divided among instances that have just started. */
    int startCalls(CallQuota quota) {
        return bounded(STARTERS_EXCESS * excess(quota));
    }

    private double excess(CallQuota quota) {
        return calls(quota) * overRatio + slack;
    }

    private double calls(CallQuota quota) {
        return quota.callsPerSecond() * windowMillis / MILLIS_PER_SECOND + quota.burst();
    }

    private static int bounded(double calls) {
        return (int) Math.min(Integer.MAX_VALUE / 2, calls);
    }
}
