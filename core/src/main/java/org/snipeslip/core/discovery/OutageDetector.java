package org.snipeslip.core.discovery;

/**
 * Detects outages of the store from the results of all requests. For a grace period after an outage
 * or a restoration, removed servers are kept, because they may register again.
 */
final class OutageDetector {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long outageNanos;
    private final long graceNanos;
    private final long batchNanos;
    private long lastSuccessNanos = Long.MIN_VALUE;
    private boolean failing;
    private long failingSinceNanos;
    private long graceEndNanos;
    private boolean recovered;

    OutageDetector(WatchSettings settings) {
        this.outageNanos = settings.outageMillis() * NANOS_PER_MILLI;
        this.graceNanos = settings.recoveryGraceMillis() * NANOS_PER_MILLI;
        this.batchNanos = settings.batchMillis() * NANOS_PER_MILLI;
    }

    void recordFailure(long nowNanos) {
        if (!failing) {
            failing = true;
            failingSinceNanos = nowNanos;
        }
    }

    /** Returns when the store has last answered. */
    long lastSuccessNanos() {
        return lastSuccessNanos;
    }

    void recordSuccess(long nowNanos) {
        lastSuccessNanos = nowNanos;
        if (isFailingForLong(nowNanos)) {
            recovered = true;
            graceEndNanos = nowNanos + graceNanos;
        }
        failing = false;
    }

    /**
     * The store came back from a copy, which may lack what was registered since. What is registered
     * again within the grace period may only be read with the next batch of changes.
     */
    void recordRestored(long nowNanos) {
        recovered = true;
        graceEndNanos = nowNanos + graceNanos + batchNanos;
    }

    /** Returns until when a removed server is kept, or the current time if it is not kept. */
    long keepUntilNanos(long nowNanos) {
        return recovered && nowNanos < graceEndNanos ? graceEndNanos : nowNanos;
    }

    /** Returns whether failures have lasted so long that they count as an outage. */
    boolean isFailingForLong(long nowNanos) {
        return failing && nowNanos - failingSinceNanos >= outageNanos;
    }

    boolean isFailing() {
        return failing;
    }
}
