package org.snipeslip.core.discovery;

/**
 * The time after the start in which an instance has read the lists of the store and looks for
 * another instance that tells it the changes since. It watches nothing meanwhile, so the time is
 * bounded by the age of what it knows.
 */
final class StartPhase {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final long maxNanos;
    private final long maxAgeNanos;
    private long endNanos = NEVER;

    /**
     * Creates a phase that has not begun.
     *
     * @param maxMillis longest duration
     * @param maxAgeMillis greatest age of what the lists have shown
     */
    StartPhase(long maxMillis, long maxAgeMillis) {
        this.maxNanos = maxMillis * NANOS_PER_MILLI;
        this.maxAgeNanos = maxAgeMillis * NANOS_PER_MILLI;
    }

    void begin(long nowNanos) {
        endNanos = nowNanos + maxNanos;
    }

    /** Bounds the rest of the phase, because all lists were read at a time. */
    void listsRead(long asOfNanos) {
        if (isActive()) {
            endNanos = Math.min(endNanos, asOfNanos + maxAgeNanos);
        }
    }

    void end() {
        endNanos = NEVER;
    }

    boolean isActive() {
        return endNanos != NEVER;
    }

    /** Returns when the phase ends at the latest, or {@link Long#MAX_VALUE} if it is not active. */
    long endNanos() {
        return endNanos;
    }
}
