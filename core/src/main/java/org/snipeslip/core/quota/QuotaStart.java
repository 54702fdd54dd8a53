package org.snipeslip.core.quota;

/**
 * Decides from when on an instance uses its own part. It borrows until then.
 *
 * <p>An earlier process of the instance may have used or lent the part before it ended. Others
 * count a new instance from when they have answered it, or have read the list of instances again;
 * one that is gone for good does neither. Not thread-safe.
 */
final class QuotaStart {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time in which a loan may still be on its way to the borrower when the lender ends. */
    private static final long MARGIN_MILLIS = 500;

    /**
     * Each instance that reaches the store has read the list again within this time, and counts
     * this instance without having answered it.
     */
    private static final long LISTED_NANOS = 30_000 * NANOS_PER_MILLI;

    private final long restartedNanos;
    private final long windowNanos;
    private boolean known;
    private boolean mustBeCounted;
    private boolean restarted;
    private boolean othersUseParts;
    private long learnedNanos;
    private long fromNanos;

    /**
     * Creates the decision of a process that has just started.
     *
     * @param windowMillis length of the window of quotas
     */
    QuotaStart(long windowMillis) {
        // The part of an earlier process is free a window after the longest lease.
        restartedNanos = (QuotaLease.maxMillis() + windowMillis + MARGIN_MILLIS) * NANOS_PER_MILLI;
        // Without any loan in use, only what the earlier process admitted itself still counts.
        windowNanos = (windowMillis + MARGIN_MILLIS) * NANOS_PER_MILLI;
    }

    /** Notes what the list shows. The first statement that is not unknown counts. */
    void learned(QuotaStanding standing, long nowNanos) {
        if (known || standing == QuotaStanding.UNKNOWN) {
            return;
        }
        known = true;
        // An earlier process may have ended before all others had counted it.
        mustBeCounted = true;
        restarted = standing == QuotaStanding.RESTARTED;
        learnedNanos = nowNanos;
    }

    /** Returns whether others have to be asked whether they count this instance. */
    boolean mustBeCounted() {
        return mustBeCounted;
    }

    /** Returns whether those that have not answered by now are no longer waited for. */
    boolean isListed(long nowNanos) {
        return nowNanos - learnedNanos >= LISTED_NANOS;
    }

    /** Notes that an instance has never answered, so that it is not known what it uses. */
    void unanswered() {
        othersUseParts = true;
    }

    /**
     * Notes an answer of an instance, which may have used a larger part until now, or a loan of the
     * earlier process.
     */
    void answered(boolean usesParts) {
        othersUseParts |= usesParts;
    }

    /** Notes that all others count this instance, or are no longer waited for. */
    void counted(long nowNanos) {
        mustBeCounted = false;
        if (othersUseParts) {
            fromNanos = nowNanos + restartedNanos;
        } else {
            // All have started anew, as after a loss of power everywhere.
            fromNanos = restarted ? learnedNanos + windowNanos : nowNanos;
        }
    }

    boolean ownsPart(long nowNanos) {
        return known && !mustBeCounted && nowNanos - fromNanos >= 0;
    }
}
