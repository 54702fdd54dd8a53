package org.snipeslip.core.ratelimit;

import java.util.function.IntUnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Limits the calls of this instance to one backend server while that server names a rate limit. The
 * limit applies to the sum over all instances, which do not communicate: each of them has a fixed
 * share of the calls that are allowed in a window, and keeps it in every sliding window. A share
 * that is not used is lost, so the shares add up to a little more than the limit.
 */
public final class CallAllowance {
    /** Long enough for a few calls at low rates, so that several instances have a share. */
    private static final long WINDOW_NANOS = 4_500_000_000L;

    /**
     * Also at lower rates, and at zero, one call in this time finds out whether they still hold.
     */
    private static final long MAX_WINDOW_NANOS = 10_000_000_000L;

    /** More calls than that need not be spread: they exceed what one instance sends at once. */
    private static final int MAX_SPREAD_CALLS = 256;

    /**
     * Sum of all shares relative to the limit. Callers are spread unevenly over instances, so some
     * of the shares remain unused.
     */
    private static final double SHARES_PER_LIMIT = 1.2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;

    /** Null until a limit is named, because most servers never name one. */
    private CallWindow window;

    private RateLimit limit = RateLimit.UNLIMITED;
    private long statedNanos;
    private IntUnaryOperator shareOf = calls -> calls;
    private long windowNanos = WINDOW_NANOS;
    private int share;

    /**
     * Creates an allowance without limit.
     *
     * @param random spreads the first calls after a limit was named
     */
    public CallAllowance(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Sets how calls are divided among the instances.
     *
     * @param newShareOf returns the part of this instance in a number of calls
     */
    public void setShare(IntUnaryOperator newShareOf) {
        shareOf = newShareOf;
        update();
    }

    /**
     * Applies what a response says. Responses overtake one another, so a limit is raised or lifted
     * only by the response to a request that was sent after the last response with a limit; a lower
     * limit holds at once.
     *
     * @param stated what the response says
     * @param sentNanos when the request was sent, or a time before that
     * @param nowNanos the current time
     */
    public void observe(RateLimit stated, long sentNanos, long nowNanos) {
        switch (stated) {
            case RateLimit.Unknown unknown -> {
                // What was known still holds.
            }
            case RateLimit.Unlimited unlimited -> {
                if (isLimited() && sentNanos - statedNanos >= 0) {
                    limit = unlimited;
                }
            }
            case RateLimit.CallsPerSecond rate -> {
                boolean first = !isLimited();
                // A higher limit that is not applied confirms nothing, and must not defer the next.
                if (first || sentNanos - statedNanos >= 0 || !isHigher(rate)) {
                    limit = rate;
                    statedNanos = nowNanos;
                    update();
                }
                if (window == null) {
                    window = new CallWindow(MAX_WINDOW_NANOS);
                }
                if (first) {
                    spreadFirstCalls(nowNanos);
                }
            }
        }
    }

    /**
     * Returns whether the server names a limit.
     *
     * @return false if calls are not limited
     */
    public boolean isLimited() {
        return limit instanceof RateLimit.CallsPerSecond;
    }

    /**
     * Returns how many calls this instance may send in a window while the server names a limit.
     *
     * @return the share, at least 0
     */
    public int share() {
        return share;
    }

    /**
     * Returns the time since a response last confirmed the limit.
     *
     * @param nowNanos the current time
     * @return nanoseconds; meaningless without a limit
     */
    public long ageNanos(long nowNanos) {
        return nowNanos - statedNanos;
    }

    /**
     * Returns whether one more call may be sent now.
     *
     * @param nowNanos the current time
     * @return true without a limit, or if the share is not used up
     */
    public boolean allows(long nowNanos) {
        return !isLimited() || window.count(windowNanos, nowNanos) < share;
    }

    /**
     * Returns when the next call may be sent.
     *
     * @param nowNanos the current time
     * @return the time, or the end of a window if this instance has no share
     */
    public long nextNanos(long nowNanos) {
        if (allows(nowNanos)) {
            return nowNanos;
        }
        return share == 0
                ? nowNanos + windowNanos
                : window.lessThanNanos(share, windowNanos, nowNanos);
    }

    /**
     * Counts a call that is sent.
     *
     * @param nowNanos the current time
     */
    public void sent(long nowNanos) {
        if (isLimited()) {
            window.add(nowNanos, nowNanos);
        }
    }

    private boolean isHigher(RateLimit.CallsPerSecond rate) {
        return limit instanceof RateLimit.CallsPerSecond(double known)
                && rate.callsPerSecond() > known;
    }

    private void update() {
        if (limit instanceof RateLimit.CallsPerSecond(double callsPerSecond)) {
            double oneCallNanos = NANOS_PER_SECOND / callsPerSecond;
            windowNanos = (long) Math.min(MAX_WINDOW_NANOS, Math.max(WINDOW_NANOS, oneCallNanos));
            double calls = SHARES_PER_LIMIT * callsPerSecond * windowNanos / NANOS_PER_SECOND;
            share = shareOf.applyAsInt(Math.max(1, (int) Math.min(Integer.MAX_VALUE, calls)));
        }
    }

    /**
     * Fills the window with calls at random times before now. Otherwise all instances would use
     * their shares at once after they have learned of the limit, and none for the rest of the
     * window.
     */
    private void spreadFirstCalls(long nowNanos) {
        int unused = Math.min(MAX_SPREAD_CALLS, share - window.count(windowNanos, nowNanos));
        for (int i = 0; i < unused; i++) {
            window.add(nowNanos - random.nextLong(windowNanos), nowNanos);
        }
    }
}
