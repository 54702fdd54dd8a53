package org.snipeslip.core.measure;

/** Token bucket: refilled at a constant rate, holds at most one second's worth of tokens. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private double tokens;
    private long refilledAtNanos;
    private boolean started;

    TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    boolean has(double amount, long nowNanos) {
        refill(nowNanos);
        return tokens >= amount;
    }

    void take(double amount) {
        tokens -= amount;
    }

    private void refill(long nowNanos) {
        if (started && nowNanos > refilledAtNanos) {
            double earned = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(perSecond, tokens + earned);
        }
        refilledAtNanos = started ? Math.max(refilledAtNanos, nowNanos) : nowNanos;
        started = true;
    }
}
