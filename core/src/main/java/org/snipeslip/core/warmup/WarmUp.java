package org.snipeslip.core.warmup;

/**
 * Limit on the calls in flight to one backend server that may be cold (slow start): one at first,
 * doubled after enough successful responses, halved after a bad one. Instances do not coordinate;
 * at a limit of one, random pauses keep the sum over all instances near one call in flight.
 */
public final class WarmUp {
    /** The limit of a backend server that is warm. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    /** Consecutive bad responses after which a warm server counts as cold. */
    private static final int MAX_CONSECUTIVE_BAD = 3;

    /** Upper bound of a pause, so that the recovery of a server is detected in time. */
    private static final long MAX_PAUSE_NANOS = 1_000_000_000;

    private int limit = UNLIMITED;
    private int successesAtLimit;
    private int successesNeededPerCall = 1;
    private int consecutiveBad;
    private long pausedUntilNanos;

    /**
     * Starts the warm-up of a server that was already configured at process start. It is probably
     * warm, so fewer successful responses are needed.
     */
    public void startProbablyWarm() {
        limit = 1;
        successesAtLimit = 0;
        successesNeededPerCall = 1;
        consecutiveBad = 0;
    }

    /**
     * Starts the warm-up of a server that is probably cold.
     *
     * @param pauseNanos random time to wait before the first call
     * @param nowNanos the current time in nanoseconds
     */
    public void startCold(long pauseNanos, long nowNanos) {
        limit = 1;
        successesAtLimit = 0;
        successesNeededPerCall = 2;
        consecutiveBad = 0;
        pause(pauseNanos, nowNanos);
    }

    /**
     * Records a successful response.
     *
     * @param fullLimit the limit at which the server counts as warm
     * @param reportsCold whether the server still reports that it is cold; the limit is then not
     *     raised above half of the full limit
     */
    public void recordSuccess(int fullLimit, boolean reportsCold) {
        consecutiveBad = 0;
        if (limit == UNLIMITED) {
            return;
        }
        successesAtLimit++;
        if (successesAtLimit < successesNeededPerCall * limit
                || (reportsCold && limit * 4 > fullLimit)) {
            return;
        }
        successesAtLimit = 0;
        limit = limit * 2 > fullLimit ? UNLIMITED : limit * 2;
    }

    /**
     * Records a slow response, an error or a refusal.
     *
     * @param pauseNanos random time to wait if the limit falls to one
     * @param nowNanos the current time in nanoseconds
     */
    public void recordBadResponse(long pauseNanos, long nowNanos) {
        consecutiveBad++;
        if (limit != UNLIMITED) {
            limit = Math.max(1, limit / 2);
            successesAtLimit = 0;
            successesNeededPerCall = 2;
        } else if (consecutiveBad >= MAX_CONSECUTIVE_BAD) {
            startCold(pauseNanos, nowNanos);
        }
        if (limit == 1) {
            pause(pauseNanos, nowNanos);
        }
    }

    /**
     * Records that a call is sent.
     *
     * @param pauseNanos random time to wait before the next call at the limit of one
     * @param nowNanos the current time in nanoseconds
     */
    public void sent(long pauseNanos, long nowNanos) {
        if (limit == 1 && successesNeededPerCall > 1) {
            pause(pauseNanos, nowNanos);
        }
    }

    /**
     * Returns the current limit.
     *
     * @param nowNanos the current time in nanoseconds
     * @return calls that may be in flight; 0 during a pause
     */
    public int limit(long nowNanos) {
        return limit == 1 && nowNanos < pausedUntilNanos ? 0 : limit;
    }

    /**
     * Tells whether the server counts as cold.
     *
     * @return true while the number of calls in flight is limited
     */
    public boolean isCold() {
        return limit != UNLIMITED;
    }

    private void pause(long pauseNanos, long nowNanos) {
        pausedUntilNanos = nowNanos + Math.min(pauseNanos, MAX_PAUSE_NANOS);
    }
}
