package org.snipeslip.core.quota;

/**
 * Counters of quotas.
 *
 * @param admitted calls with a quota that were admitted
 * @param refused calls that were refused because the quota was used up
 * @param lent calls of a window that this instance has lent
 * @param borrowed calls of a window that this instance has borrowed
 */
public record QuotaCounters(long admitted, long refused, int lent, int borrowed) {
    /** Counters of an instance without quotas. */
    public static final QuotaCounters NONE = new QuotaCounters(0, 0, 0, 0);
}
