package org.snipeslip.core.idempotency;

/**
 * Timer of a partition, set for the earliest of the times at which the partition has work to do.
 */
final class PartitionTimer {
    private final IdempotencyContext context;
    private final String timerKey;
    private boolean scheduled;
    private long scheduledNanos;
    private boolean pending;
    private long pendingAtNanos;

    PartitionTimer(IdempotencyContext context, String timerKey) {
        this.context = context;
        this.timerKey = timerKey;
    }

    /** Must be called when the timer fired, which may be slightly early by the engine's clock. */
    void fired() {
        pending = false;
    }

    /** Discards the scheduled times; a timer that is already set stays set. */
    void reset() {
        scheduled = false;
    }

    /** Adds a time at which the partition has work to do. */
    void schedule(long nanos) {
        if (!scheduled || nanos - scheduledNanos < 0) {
            scheduled = true;
            scheduledNanos = nanos;
        }
    }

    /**
     * Sets the timer for the earliest scheduled time unless it is already set for that time or
     * before.
     */
    void arm(long nowNanos) {
        if (!scheduled || pending && pendingAtNanos - scheduledNanos <= 0) {
            return;
        }
        pending = true;
        pendingAtNanos = Math.max(scheduledNanos, nowNanos + IdempotencySettings.NANOS_PER_MILLI);
        context.setTimer(timerKey, pendingAtNanos - nowNanos);
    }
}
