package org.snipeslip.core.warmup;

import java.util.ArrayDeque;

/**
 * Bounds the calls that this instance sends to one cold backend server in any window, as its share
 * of a bound on the sum over all instances. Where the bound is lower than the number of instances,
 * as many of them as it allows may send one call each; which ones differs between servers.
 */
public final class ColdRate {
    /** A window longer than the second of the bound covers the time that calls take to arrive. */
    private static final long WINDOW_NANOS = 1_100_000_000L;

    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

    /**
     * Returns the share of one instance.
     *
     * @param callsPerSecond bound on the sum over all instances
     * @param instances number of instances, at least 1
     * @param ownIndex position of this instance among them, from 0
     * @param serverHash spreads the instances over the servers
     * @return calls that this instance may send in a window, at least 0
     */
    public static int share(int callsPerSecond, int instances, int ownIndex, int serverHash) {
        int even = callsPerSecond / instances;
        int left = callsPerSecond % instances;
        int turn = (ownIndex + Math.floorMod(serverHash, instances)) % instances;
        return even + (turn < left ? 1 : 0);
    }

    /**
     * Tells whether one more call may be sent.
     *
     * @param share calls allowed in a window
     * @param nowNanos the time
     * @return true if the window has room
     */
    public boolean allows(int share, long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peek() >= WINDOW_NANOS) {
            sentNanos.poll();
        }
        return sentNanos.size() < share;
    }

    /**
     * Notes a call.
     *
     * @param nowNanos the time
     */
    public void sent(long nowNanos) {
        sentNanos.add(nowNanos);
    }
}
