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
     * A latency this many times the baseline shows queueing; service times alone rarely vary so.
     */
    private static final double GRADIENT = 3;

    private double limit = 1;
    private int bound = 1;
    private boolean bounded;
    private long decreasedAtNanos = Long.MIN_VALUE;

    /**
     * Sets the bound: twice the slots, and this instance's part of the connections, whichever is
     * lower, but at least one.
     *
     * @param slots calls that the server can work on at once
     * @param connectionLimit connections that all instances together may hold
     * @param instances number of instances that share the server
     */
    public void configure(int slots, int connectionLimit, int instances) {
        int connections = connectionShare(connectionLimit, instances);
        bound = Math.max(1, Math.min(CALLS_PER_SLOT * slots, connections));
        limit = bounded ? Math.min(limit, bound) : Math.min(Math.max(1, slots), bound);
        bounded = true;
    }

    /**
     * Returns this instance's part of the connections of a backend server.
     *
     * @param connectionLimit connections that all instances together may hold
     * @param instances number of instances
     * @return the part, at least one
     */
    public static int connectionShare(int connectionLimit, int instances) {
        return Math.max(1, connectionLimit / Math.max(1, instances));
    }

    /**
     * Takes a response.
     *
     * @param latencyNanos its latency without the network's part
     * @param baselineNanos latency of the service without overload
     * @param inFlight calls in flight when it arrived, itself included
     * @param nowNanos the time
     */
    public void responded(double latencyNanos, double baselineNanos, int inFlight, long nowNanos) {
        if (latencyNanos > GRADIENT * baselineNanos) {
            decrease(GRADIENT_FACTOR, baselineNanos, nowNanos);
        } else if (2 * inFlight >= limit) {
            limit = Math.min(bound, limit + 1 / limit);
        }
    }

    /**
     * Takes a refusal or a failure.
     *
     * @param baselineNanos latency of the service without overload
     * @param nowNanos the time
     */
    public void refused(double baselineNanos, long nowNanos) {
        decrease(REFUSAL_FACTOR, baselineNanos, nowNanos);
    }

    /**
     * Returns the limit.
     *
     * @return calls that may be in flight, from 1 to the bound
     */
    public int limit() {
        return (int) limit;
    }

    /**
     * Returns the bound.
     *
     * @return the highest limit
     */
    public int bound() {
        return bound;
    }

    /** Responses to calls sent before a decrease say nothing about its effect. */
    private void decrease(double factor, double pauseNanos, long nowNanos) {
        if (decreasedAtNanos == Long.MIN_VALUE || nowNanos - decreasedAtNanos >= pauseNanos) {
            limit = Math.max(1, limit * factor);
            decreasedAtNanos = nowNanos;
        }
    }
}
