package org.snipeslip.core.discovery;

/**
 * Detects outages of the store from the results of all requests. For a grace period after an
 * outage, removed servers are kept, because they may register again.
 */
final class OutageDetector {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long outageNanos;
    private final long graceNanos;
    private boolean failing;
    private long failingSinceNanos;
    private long graceEndNanos;
    private boolean recovered;

    OutageDetector(WatchSettings settings) {
        this.outageNanos = settings.outageMillis() * NANOS_PER_MILLI;
        this.graceNanos = settings.recoveryGraceMillis() * NANOS_PER_MILLI;
    }

    void recordFailure(long nowNanos) {
        if (!failing) {
            failing = true;
            failingSinceNanos = nowNanos;
        }
    }

    void recordSuccess(long nowNanos) {
        if (failing && nowNanos - failingSinceNanos >= outageNanos) {
            recovered = true;
            graceEndNanos = nowNanos + graceNanos;
        }
        failing = false;
    }

    /** Returns until when a removed server is kept, or the current time if it is not kept. */
    long keepUntilNanos(long nowNanos) {
        return recovered && nowNanos < graceEndNanos ? graceEndNanos : nowNanos;
    }

    boolean isFailing() {
        return failing;
    }
}
