package org.snipeslip.core.warmup;

/**
 * Limit on the calls in flight to one backend server that may be cold (slow start): one at first,
 * doubled after enough good responses, halved after a bad one. Instances do not coordinate, so at
 * the limit of one a random pause keeps all instances together near one call in flight.
 */
public final class WarmUp {
    /** The limit of a backend server that is warm. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    /** Consecutive bad responses after which a warm server counts as cold. */
    private static final int BAD_IN_A_ROW = 3;

    /** Bounds the time until a server that recovered is noticed. */
    private static final long MAX_PAUSE_NANOS = 1_000_000_000;

    private int limit = UNLIMITED;
    private int goodAtLimit;
    private int goodNeededPerCall = 1;
    private int badInARow;
    private long notBeforeNanos;

    /** Begins for a server that was there at process start; it is probably warm. */
    public void startProbablyWarm() {
        limit = 1;
        goodAtLimit = 0;
        goodNeededPerCall = 1;
        badInARow = 0;
    }

    /**
     * Begins for a server that is probably cold.
     *
     * @param pauseNanos random time to wait before the first call
     * @param nowNanos the time
     */
    public void startCold(long pauseNanos, long nowNanos) {
        limit = 1;
        goodAtLimit = 0;
        goodNeededPerCall = 2;
        badInARow = 0;
        pause(pauseNanos, nowNanos);
    }

    /**
     * Takes a good response.
     *
     * @param fullLimit the limit at which the server counts as warm
     * @param reportsCold whether the server still says that it is cold; it then gets at most half
     *     of the full limit
     */
    public void recordSuccess(int fullLimit, boolean reportsCold) {
        badInARow = 0;
        if (limit == UNLIMITED) {
            return;
        }
        goodAtLimit++;
        if (goodAtLimit < goodNeededPerCall * limit || (reportsCold && limit * 4 > fullLimit)) {
            return;
        }
        goodAtLimit = 0;
        limit = limit * 2 > fullLimit ? UNLIMITED : limit * 2;
    }

    /**
     * Takes a slow response, an error or a refusal.
     *
     * @param pauseNanos random time to wait if the limit falls to one
     * @param nowNanos the time
     */
    public void recordBadResponse(long pauseNanos, long nowNanos) {
        badInARow++;
        if (limit != UNLIMITED) {
            limit = Math.max(1, limit / 2);
            goodAtLimit = 0;
            goodNeededPerCall = 2;
        } else if (badInARow >= BAD_IN_A_ROW) {
            startCold(pauseNanos, nowNanos);
        }
        if (limit == 1) {
            pause(pauseNanos, nowNanos);
        }
    }

    /**
     * Notes that a call is sent.
     *
     * @param pauseNanos random time to wait before the next call at the limit of one
     * @param nowNanos the time
     */
    public void sent(long pauseNanos, long nowNanos) {
        if (limit == 1 && goodNeededPerCall > 1) {
            pause(pauseNanos, nowNanos);
        }
    }

    /**
     * Returns the limit.
     *
     * @param nowNanos the time
     * @return calls that may be in flight; 0 during a pause
     */
    public int limit(long nowNanos) {
        return limit == 1 && nowNanos < notBeforeNanos ? 0 : limit;
    }

    /**
     * Tells whether the server counts as cold.
     *
     * @return true while the limit applies
     */
    public boolean isCold() {
        return limit != UNLIMITED;
    }

    private void pause(long pauseNanos, long nowNanos) {
        notBeforeNanos = nowNanos + Math.min(pauseNanos, MAX_PAUSE_NANOS);
    }
}
