package org.snipeslip.core.call;

import org.snipeslip.core.ratelimit.RateLimit;

/**
 * Load that a backend server reported about itself.
 *
 * @param inFlight calls it is working on or holds in its queue, or -1 if unknown
 * @param slots calls it can work on at once, or -1 if unknown
 * @param draining whether it requests that no new calls be sent
 * @param cold whether it reports that it is cold, for example after a start
 * @param slowdown current service time relative to the usual one, which is 1
 * @param unhealthy whether it reports that it cannot serve calls; such a report may be wrong
 * @param rateLimit the calls that it accepts from all instances together; may be known although the
 *     load is not
 * @param leaving whether it says that it will end; may be known although the load is not
 * @param coldMillis how much longer it will be cold, in milliseconds, or 0 if it does not say; may
 *     be known although the load is not
 */
public record LoadReport(
        int inFlight,
        int slots,
        boolean draining,
        boolean cold,
        double slowdown,
        boolean unhealthy,
        RateLimit rateLimit,
        boolean leaving,
        long coldMillis) {
    /** The response carried no load report. */
    public static final LoadReport UNKNOWN = new LoadReport(-1, -1, false, false);

    /**
     * Creates a report of a healthy server that works at its usual speed.
     *
     * @param inFlight calls it is working on or holds in its queue, or -1 if unknown
     * @param slots calls it can work on at once, or -1 if unknown
     * @param draining whether it requests that no new calls be sent
     * @param cold whether it reports that it is cold, for example after a start
     */
    public LoadReport(int inFlight, int slots, boolean draining, boolean cold) {
        this(inFlight, slots, draining, cold, 1, false, RateLimit.UNKNOWN, false, 0);
    }

    /**
     * Returns a copy in which the server reports that it cannot serve calls.
     *
     * @return the changed copy
     */
    public LoadReport asUnhealthy() {
        return new LoadReport(
                inFlight, slots, draining, cold, slowdown, true, rateLimit, leaving, coldMillis);
    }

    /**
     * Returns a copy with a rate limit.
     *
     * @param newRateLimit what the response says about the limit
     * @return the changed copy
     */
    public LoadReport withRateLimit(RateLimit newRateLimit) {
        return new LoadReport(
                inFlight,
                slots,
                draining,
                cold,
                slowdown,
                unhealthy,
                newRateLimit,
                leaving,
                coldMillis);
    }

    /**
     * Returns a copy with what the response says about the end of its server.
     *
     * @param newLeaving whether the server says that it will end
     * @return the changed copy
     */
    public LoadReport withLeaving(boolean newLeaving) {
        return new LoadReport(
                inFlight,
                slots,
                draining,
                cold,
                slowdown,
                unhealthy,
                rateLimit,
                newLeaving,
                coldMillis);
    }

    /**
     * Returns a copy with what the response says about the time that its server will be cold.
     *
     * @param newColdMillis the time in milliseconds, or 0 if it does not say
     * @return the changed copy
     */
    public LoadReport withColdMillis(long newColdMillis) {
        return new LoadReport(
                inFlight,
                slots,
                draining,
                cold,
                slowdown,
                unhealthy,
                rateLimit,
                leaving,
                newColdMillis);
    }

    /**
     * Returns whether the report contains load figures.
     *
     * @return true if the in-flight count is known
     */
    public boolean isKnown() {
        return inFlight >= 0;
    }

    /**
     * Returns whether the report says anything that the response to a probe is needed for.
     *
     * @return true if the load, the coming end or a cold period of the server is known
     */
    public boolean saysAnything() {
        return isKnown() || leaving || coldMillis > 0;
    }
}
