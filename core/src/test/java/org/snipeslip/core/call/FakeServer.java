package org.snipeslip.core.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.ratelimit.RateLimit;

/** A simulated backend server with slots, a bounded queue and faults that tests set. */
final class FakeServer {
    private static final int QUEUE_PER_SLOT = 8;

    final BackendServer config;
    final ArrayDeque<FakeTry> queue = new ArrayDeque<>();
    double slowFactor = 1;
    double breakRate;
    boolean down;
    boolean failsFast;
    boolean refuses;
    boolean cold;
    boolean reportsCold;
    boolean draining;
    RateLimit rateLimit = RateLimit.UNLIMITED;

    /** Until when it says that it is cold. */
    long coldUntilNanos;

    final List<Long> arrivedNanos = new ArrayList<>();

    /** When the callers sent what arrived, in the order of {@link #arrivedNanos}. */
    final List<Long> sentNanos = new ArrayList<>();

    int running;
    int maxHeld;
    long served;

    FakeServer(BackendServer config) {
        this.config = config;
    }

    /**
     * A cold server is twice as slow with one call, and much slower with each further call held.
     */
    double slowness() {
        int held = running + queue.size();
        return slowFactor * (cold ? 2 + 3 * Math.max(0, held - 1) : 1);
    }

    boolean isFull() {
        return refuses || queue.size() >= QUEUE_PER_SLOT * config.slots();
    }

    LoadReport report(long nowNanos) {
        long coldMillis = Math.max(0, (coldUntilNanos - nowNanos) / 1_000_000);
        return new LoadReport(running + queue.size(), config.slots(), draining, reportsCold)
                .withRateLimit(rateLimit)
                .withColdMillis(coldMillis);
    }
}
