package org.snipeslip.core.call;

import java.util.random.RandomGenerator;

/** When servers allow the next call that a choice excluded only because of their rate limits. */
final class RateLimitWait {
    private static final long NEVER = Long.MAX_VALUE;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Delays are random, so that callers and instances do not come back all at once. */
    private static final double MIN_SPREAD = 0.5;

    /** Another instance may still have calls left, so a refused caller may return soon. */
    private static final long MAX_RETRY_MILLIS = 1_000;

    /** Mean time between the probes that all instances together send to one server. */
    private static final long PROBE_INTERVAL_NANOS = 500_000_000;

    private final RandomGenerator random;
    private long endNanos = NEVER;

    RateLimitWait(RandomGenerator random) {
        this.random = random;
    }

    void reset() {
        endNanos = NEVER;
    }

    /** Adds a server that was excluded. */
    void add(long serverEndNanos) {
        endNanos = Math.min(endNanos, serverEndNanos);
    }

    /** Returns whether a server was excluded. */
    boolean isNeeded() {
        return endNanos != NEVER;
    }

    /** Returns a delay for a caller that is refused. */
    long retryMillis(long nowNanos) {
        double waitMillis = Math.min(MAX_RETRY_MILLIS, (endNanos - nowNanos) / NANOS_PER_MILLI);
        return Math.max(1, (long) (spread() * waitMillis));
    }

    /** Returns the time until this instance asks servers whether their rate limits still hold. */
    long probeDelayNanos(int instances) {
        return (long) (spread() * instances * PROBE_INTERVAL_NANOS);
    }

    private double spread() {
        return MIN_SPREAD + random.nextDouble();
    }
}
