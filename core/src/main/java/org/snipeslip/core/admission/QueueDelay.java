package org.snipeslip.core.admission;

import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.load.ServiceLoad;

/**
 * Controlled delay (after CoDel): a queue that was empty within the last interval may hold an
 * interactive call for the whole interval, so that a burst is absorbed; a queue that has been
 * standing for longer holds it for the target only, so that waiting does not use up its deadline.
 * Batch calls may wait until their deadline.
 */
public final class QueueDelay {
    private static final double GAP_WEIGHT = 0.05;

    /** The waits of the settings hold up to this latency, and in proportion above. */
    private static final double USUAL_BASELINE_NANOS = 5e6;

    private final long targetNanos;
    private final long intervalNanos;
    private long standingSinceNanos;
    private long lastTakenNanos;
    private double gapNanos;

    /**
     * Creates the rule.
     *
     * @param targetNanos longest wait in a standing queue
     * @param intervalNanos time after which a queue counts as standing
     */
    public QueueDelay(long targetNanos, long intervalNanos) {
        this.targetNanos = targetNanos;
        this.intervalNanos = intervalNanos;
    }

    /**
     * Notes that an interactive call is about to enter the queue while no other waits.
     *
     * @param nowNanos the time
     */
    public void becameNonEmpty(long nowNanos) {
        standingSinceNanos = nowNanos;
    }

    /**
     * Notes that a call is about to enter the empty queue; the pace is measured from here.
     *
     * @param nowNanos the time
     */
    public void startMeasuringDepartures(long nowNanos) {
        lastTakenNanos = nowNanos;
    }

    /**
     * Notes that a call left the queue to be sent. Only batch calls set the pace: interactive ones
     * pass them, and their own wait is bounded by the interval.
     *
     * @param callClass class of the call
     * @param nowNanos the time
     */
    public void recordDeparture(CallClass callClass, long nowNanos) {
        if (callClass != CallClass.BATCH) {
            return;
        }
        gapNanos += GAP_WEIGHT * (nowNanos - lastTakenNanos - gapNanos);
        lastTakenNanos = nowNanos;
    }

    /**
     * Returns the longest wait.
     *
     * @param callClass class of the call
     * @param service latencies of the service; a slow service has longer waits
     * @param nowNanos the time
     * @return the wait in nanoseconds
     */
    public long maxWaitNanos(CallClass callClass, ServiceLoad service, long nowNanos) {
        if (callClass == CallClass.BATCH || !service.isKnown()) {
            return Long.MAX_VALUE;
        }
        double scale = Math.max(1, service.baselineNanos() / USUAL_BASELINE_NANOS);
        long interval = (long) (scale * intervalNanos);
        return nowNanos - standingSinceNanos > interval ? (long) (scale * targetNanos) : interval;
    }

    /**
     * Estimates the wait behind other calls from the pace at which batch calls left the queue.
     *
     * @param ahead calls ahead in the queue
     * @return the wait in nanoseconds
     */
    public long expectedWaitNanos(int ahead) {
        return (long) (ahead * gapNanos);
    }
}
