package org.snipeslip.core.discovery;

/**
 * Judges from all calls to the store whether it was away, and for how long after its return servers
 * that vanished may still come back.
 */
final class StoreOutage {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long outageNanos;
    private final long graceNanos;
    private boolean failing;
    private long failingSinceNanos;
    private long graceEndNanos;
    private boolean returned;

    StoreOutage(FollowSettings settings) {
        this.outageNanos = settings.outageMillis() * NANOS_PER_MILLI;
        this.graceNanos = settings.returnGraceMillis() * NANOS_PER_MILLI;
    }

    void failed(long nowNanos) {
        if (!failing) {
            failing = true;
            failingSinceNanos = nowNanos;
        }
    }

    void succeeded(long nowNanos) {
        if (failing && nowNanos - failingSinceNanos >= outageNanos) {
            returned = true;
            graceEndNanos = nowNanos + graceNanos;
        }
        failing = false;
    }

    /** Returns until when a vanished server is kept, or the present if it is gone. */
    long keepUntilNanos(long nowNanos) {
        return returned && nowNanos < graceEndNanos ? graceEndNanos : nowNanos;
    }

    boolean isFailing() {
        return failing;
    }
}
