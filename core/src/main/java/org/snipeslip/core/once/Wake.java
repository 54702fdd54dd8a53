package org.snipeslip.core.once;

/** The earliest of several times at which a partition has something to do. */
final class Wake {
    private final Scope scope;
    private final String timerKey;
    private boolean set;
    private long atNanos;
    private boolean pending;
    private long pendingAtNanos;

    Wake(Scope scope, String timerKey) {
        this.scope = scope;
        this.timerKey = timerKey;
    }

    /** Notes that the timer fired, which may be a little early by the engine's clock. */
    void fired() {
        pending = false;
    }

    void begin() {
        set = false;
    }

    void at(long nanos) {
        if (!set || nanos - atNanos < 0) {
            set = true;
            atNanos = nanos;
        }
    }

    /** Sets the timer unless one for the same time or earlier is pending. */
    void arm(long nowNanos) {
        if (!set || pending && pendingAtNanos - atNanos <= 0) {
            return;
        }
        pending = true;
        pendingAtNanos = Math.max(atNanos, nowNanos + OnceSettings.NANOS_PER_MILLI);
        scope.timer(timerKey, pendingAtNanos - nowNanos);
    }
}
