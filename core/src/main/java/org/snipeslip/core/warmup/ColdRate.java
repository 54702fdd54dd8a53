package org.snipeslip.core.warmup;

import java.util.ArrayDeque;

/**
 * Limits the calls that this instance sends to one cold backend server in any window to its share
 * of a limit on the sum over all instances. If that limit is lower than the number of instances,
 * only as many instances as the limit may send one call each; which ones differs between servers.
 */
public final class ColdRate {
    /** Longer than the one second of the limit, to allow for different transit times of calls. */
    private static final long WINDOW_NANOS = 1_100_000_000L;

    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

    /**
     * Returns the share of one instance.
     *
     * @param callsPerSecond limit on the sum over all instances
     * @param instances number of instances, at least 1
     * @param ownIndex position of this instance among them, from 0
     * @param serverHash hash of the server, which varies the instances that may send
     * @return calls that this instance may send in a window, at least 0
     */
    public static int share(int callsPerSecond, int instances, int ownIndex, int serverHash) {
        int even = callsPerSecond / instances;
        int remainder = callsPerSecond % instances;
        int rotatedIndex = (ownIndex + Math.floorMod(serverHash, instances)) % instances;
        return even + (rotatedIndex < remainder ? 1 : 0);
    }

    /**
     * Tells whether one more call may be sent.
     *
     * @param share calls allowed in a window
     * @param nowNanos the current time in nanoseconds
     * @return true if fewer calls than the share were sent in the window
     */
    public boolean allows(int share, long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peek() >= WINDOW_NANOS) {
            sentNanos.poll();
        }
        return sentNanos.size() < share;
    }

    /**
     * Records a call that is sent.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void sent(long nowNanos) {
        sentNanos.add(nowNanos);
    }
}
