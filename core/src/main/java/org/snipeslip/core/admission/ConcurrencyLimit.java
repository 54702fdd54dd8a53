package org.snipeslip.core.admission;

/**
 * Adaptive limit on the calls of this instance in flight to one backend server: additive increase
 * while the limit is used, multiplicative decrease on refusals and when the latency gradient shows
 * queueing at the server.
 */
public final class ConcurrencyLimit {
    /** One call running and one queued or in transit per slot keeps every slot busy. */
    private static final int CALLS_PER_SLOT = 2;

    private static final double REFUSAL_FACTOR = 0.7;
    private static final double GRADIENT_FACTOR = 0.9;

    /**
     * A latency this many times the baseline indicates queueing; service times alone rarely vary
     * that much.
     */
    private static final double QUEUEING_LATENCY_FACTOR = 3;

    private double limit = 1;
    private int bound = 1;
    private boolean configured;
    private long decreasedAtNanos = Long.MIN_VALUE;

    /**
     * Sets the bound: twice the slots, and this instance's share of the connections, whichever is
     * lower, but at least one.
     *
     * @param slots calls that the server can process at the same time
     * @param connectionLimit connections that all instances together may open
     * @param instances number of instances that share the server
     */
    public void configure(int slots, int connectionLimit, int instances) {
        int connections = connectionShare(connectionLimit, instances);
        bound = Math.max(1, Math.min(CALLS_PER_SLOT * slots, connections));
        limit = configured ? Math.min(limit, bound) : Math.min(Math.max(1, slots), bound);
        configured = true;
    }

    /**
     * Returns this instance's share of the connections to a backend server.
     *
     * @param connectionLimit connections that all instances together may open
     * @param instances number of instances
     * @return the share, at least one
     */
    public static int connectionShare(int connectionLimit, int instances) {
        return Math.max(1, connectionLimit / Math.max(1, instances));
    }

    /**
     * Raises the limit if it is in use, or lowers it if the latency shows queueing.
     *
     * @param latencyNanos latency of the response without the network round trip
     * @param baselineNanos latency of the service without overload
     * @param inFlight calls in flight when the response arrived, including its own
     * @param nowNanos the current time in nanoseconds
     */
    public void responded(double latencyNanos, double baselineNanos, int inFlight, long nowNanos) {
        if (latencyNanos > QUEUEING_LATENCY_FACTOR * baselineNanos) {
            decrease(GRADIENT_FACTOR, baselineNanos, nowNanos);
        } else if (2 * inFlight >= limit) {
            limit = Math.min(bound, limit + 1 / limit);
        }
    }

    /**
     * Lowers the limit after a refusal or a failure.
     *
     * @param baselineNanos latency of the service without overload
     * @param nowNanos the current time in nanoseconds
     */
    public void refused(double baselineNanos, long nowNanos) {
        decrease(REFUSAL_FACTOR, baselineNanos, nowNanos);
    }

    /**
     * Returns the current limit, rounded down.
     *
     * @return calls that may be in flight, from 1 to the bound
     */
    public int limit() {
        return (int) limit;
    }

    /**
     * Returns the upper bound of the limit.
     *
     * @return the bound in calls, at least one
     */
    public int bound() {
        return bound;
    }

    /**
     * Ignores a decrease within the pause after the last one: responses to calls that were sent
     * before a decrease do not show its effect.
     */
    private void decrease(double factor, double pauseNanos, long nowNanos) {
        if (decreasedAtNanos == Long.MIN_VALUE || nowNanos - decreasedAtNanos >= pauseNanos) {
            limit = Math.max(1, limit * factor);
            decreasedAtNanos = nowNanos;
        }
    }
}
