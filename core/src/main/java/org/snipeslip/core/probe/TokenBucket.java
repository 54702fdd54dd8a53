package org.snipeslip.core.probe;

/**
 * A token bucket with a constant refill rate and a capacity of one second of refill. The number of
 * tokens may become negative, because {@link #take} does not check it.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double tokensPerSecond;
    private double tokens;
    private long refilledAtNanos;
    private boolean started;

    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
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
            double refilled = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * tokensPerSecond;
            tokens = Math.min(tokensPerSecond, tokens + refilled);
        }
        refilledAtNanos = started ? Math.max(refilledAtNanos, nowNanos) : nowNanos;
        started = true;
    }
}
