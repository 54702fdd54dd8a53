package org.snipeslip.core.admission;

import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.load.ServiceLoad;

/**
 * Controlled delay (after CoDel): while interactive calls have been queued for no longer than the
 * interval, each of them may wait for the whole interval, so that a burst is absorbed; after that,
 * in a standing queue, they wait for the target only, so that waiting does not use up the deadline.
 * Batch calls may wait until their deadline.
 */
public final class QueueDelay {
    private static final double DEPARTURE_INTERVAL_WEIGHT = 0.05;

    /** The configured waits apply up to this baseline latency; above it they grow in proportion. */
    private static final double REFERENCE_BASELINE_NANOS = 5e6;

    private final long targetNanos;
    private final long intervalNanos;
    private long standingSinceNanos;
    private long lastDepartureNanos;
    private double departureIntervalNanos;

    /**
     * Creates the limits on the wait of interactive calls.
     *
     * @param targetNanos longest wait in a standing queue
     * @param intervalNanos time after which a queue counts as standing
     */
    public QueueDelay(long targetNanos, long intervalNanos) {
        this.targetNanos = targetNanos;
        this.intervalNanos = intervalNanos;
    }

    /**
     * Records that an interactive call is about to be queued while no other is queued.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void becameNonEmpty(long nowNanos) {
        standingSinceNanos = nowNanos;
    }

    /**
     * Records that a call is about to enter the empty queue. The interval between departures is
     * measured from this time.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void startMeasuringDepartures(long nowNanos) {
        lastDepartureNanos = nowNanos;
    }

    /**
     * Records that a call left the queue to be sent. Only batch calls count for the interval
     * between departures: interactive calls overtake them, and their own wait is bounded.
     *
     * @param callClass class of the call
     * @param nowNanos the current time in nanoseconds
     */
    public void recordDeparture(CallClass callClass, long nowNanos) {
        if (callClass != CallClass.BATCH) {
            return;
        }
        departureIntervalNanos +=
                DEPARTURE_INTERVAL_WEIGHT
                        * (nowNanos - lastDepartureNanos - departureIntervalNanos);
        lastDepartureNanos = nowNanos;
    }

    /**
     * Returns the longest permitted wait in the queue.
     *
     * @param callClass class of the call
     * @param service latencies of the service; a slow service has longer waits
     * @param nowNanos the current time in nanoseconds
     * @return the wait in nanoseconds; {@link Long#MAX_VALUE} for batch calls, and while the
     *     service has too few samples
     */
    public long maxWaitNanos(CallClass callClass, ServiceLoad service, long nowNanos) {
        if (callClass == CallClass.BATCH || !service.isKnown()) {
            return Long.MAX_VALUE;
        }
        double scale = Math.max(1, service.baselineNanos() / REFERENCE_BASELINE_NANOS);
        long interval = (long) (scale * intervalNanos);
        return nowNanos - standingSinceNanos > interval ? (long) (scale * targetNanos) : interval;
    }

    /**
     * Estimates the wait behind other calls from the mean interval between departures of batch
     * calls.
     *
     * @param ahead calls ahead in the queue
     * @return the wait in nanoseconds
     */
    public long expectedWaitNanos(int ahead) {
        return (long) (ahead * departureIntervalNanos);
    }
}
