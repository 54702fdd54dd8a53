package org.snipeslip.core.warmup;

import java.util.ArrayDeque;

/**
 * Limits the calls that this instance sends to one cold backend server in any window to its share
 * of a limit on the sum over all instances.
 */
public final class ColdRate {
    /** Longer than the one second of the limit, to allow for different transit times of calls. */
    public static final long WINDOW_NANOS = 1_100_000_000L;

    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

    /**
     * Tells whether one more call may be sent.
     *
     * @param share calls allowed in a window
     * @param nowNanos the current time in nanoseconds
     * @return true if fewer calls than the share were sent in the window
     */
    public boolean allows(int share, long nowNanos) {
        forgetOld(nowNanos);
        return sentNanos.size() < share;
    }

    /**
     * Records a call that is sent, also while the server is warm.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void sent(long nowNanos) {
        forgetOld(nowNanos);
        sentNanos.add(nowNanos);
    }

    private void forgetOld(long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peek() >= WINDOW_NANOS) {
            sentNanos.poll();
        }
    }
}
