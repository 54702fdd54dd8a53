package org.snipeslip.core.discovery;

import java.util.random.RandomGenerator;

/**
 * The pause before a request of the store is repeated, which grows with each failure and has
 * jitter. A refused request costs as much as an answered one.
 */
final class RetryPause {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_DOUBLINGS = 10;

    /** Pauses are longer by this factor while cheap requests show when the store is back. */
    private static final int PROBED_FACTOR = 8;

    private final WatchSettings settings;
    private final RandomGenerator random;
    private int failures;

    RetryPause(WatchSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns the longest pause while nothing shows when the store is back. */
    long unprobedNanos() {
        return settings.maxBackoffMillis() * NANOS_PER_MILLI;
    }

    /** Returns whether the last request has failed. */
    boolean isRetrying() {
        return failures > 0;
    }

    /** The request has been answered. */
    void end() {
        failures = 0;
    }

    /**
     * Returns the pause after a failure in nanoseconds.
     *
     * @param probed whether other requests show when the store is back
     */
    long afterFailure(boolean probed) {
        failures++;
        long limitMillis =
                Math.min(
                        settings.maxBackoffMillis() * (probed ? PROBED_FACTOR : 1),
                        settings.minBackoffMillis() << Math.min(failures - 1, MAX_DOUBLINGS));
        return (limitMillis / 2 + random.nextLong(limitMillis / 2 + 1)) * NANOS_PER_MILLI;
    }
}
