package org.snipeslip.core.load;

/**
 * Load data of one backend server as seen by one instance: calls of this instance in flight,
 * latency, and the last load report with its age. Guarded by the lock of the shard.
 */
public final class ServerLoad {
    /** Time stamp of an event that has not occurred yet. */
    public static final long NEVER = Long.MIN_VALUE;

    /** A failed try counts as a response whose latency is this multiple of the service mean. */
    private static final double ERROR_FACTOR = 10;

    /**
     * A latency below this multiple of the service mean is scored as the mean: service times vary,
     * and ranking servers by noise would load some of them more than others.
     */
    private static final double SLOW_FACTOR = 3;

    /** A report loses half of its weight after this many mean latencies. */
    private static final double REPORT_HALF_LATENCIES = 3;

    private static final double ERROR_WEIGHT = 0.1;

    /**
     * Errors count against a server only above this multiple of the service's error rate: calls
     * that fail everywhere must not shrink the limits of all servers.
     */
    private static final double ERROR_OUTLIER_FACTOR = 2;

    private static final double ERROR_OUTLIER_MARGIN = 0.05;

    /** A reported slowdown is ignored after this time, because it changes many times a second. */
    private static final double SLOWDOWN_VALID_NANOS = 150e6;

    /** Fraction by which processing takes longer when all slots of a server are in use. */
    private static final double UTILISATION_FACTOR = 0.5;

    /** A failure costs the caller about this many baseline latencies. */
    private static final double FAILURE_LATENCIES = 6;

    /**
     * Penalty for a server that reports itself unhealthy; not an exclusion, as the report may be
     * wrong.
     */
    private static final double UNHEALTHY_FACTOR = 3;

    /** A server is not idle if its expected time reaches this multiple of the baseline. */
    private static final double IDLE_FACTOR = 1.3;

    /** An error rate loses half of its weight after this time without responses. */
    private static final double ERROR_HALF_LIFE_NANOS = 3e9;

    /** A server that did not answer a probe is penalised for this time. */
    private static final long PROBE_FAILURE_NANOS = 1_000_000_000;

    /** Smallest fraction of a latency that is attributed to the backend server. */
    private static final double MIN_SERVER_FRACTION = 0.1;

    private final ServiceLoad service;
    private final PeakEwma latency = new PeakEwma();
    private Distance distance = Distance.OWN_REGION;
    private int slots = 1;
    private int inFlight;
    private int reportedInFlight = -1;
    private long reportedAtNanos = NEVER;
    private int sentSinceReport;

    /** Last response or failure; if no call was in flight, the time at which one was sent. */
    private long lastResponseAtNanos;

    private double errorRate;
    private long errorUpdatedAtNanos;
    private double slowdown = 1;
    private boolean unhealthy;
    private long probeFailureUntilNanos = NEVER;

    /**
     * Creates the data of a backend server without samples or reports.
     *
     * @param service the means of its service, used until there are samples of this server
     */
    public ServerLoad(ServiceLoad service) {
        this.service = service;
    }

    /**
     * Sets the configured properties.
     *
     * @param newDistance distance from this instance to the server
     * @param newSlots calls that it can process at the same time; values below 1 count as 1
     */
    public void configure(Distance newDistance, int newSlots) {
        distance = newDistance;
        slots = Math.max(1, newSlots);
    }

    /**
     * Records that a try is sent.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void sent(long nowNanos) {
        if (inFlight == 0) {
            lastResponseAtNanos = nowNanos;
        }
        inFlight++;
        sentSinceReport++;
    }

    /** Records the end of a try: a response, a failure or a cancellation. */
    public void ended() {
        inFlight--;
    }

    /**
     * Records the latency of a successful response.
     *
     * @param latencyNanos time from sending the request to receiving the response head
     * @param nowNanos the current time in nanoseconds
     */
    public void responded(long latencyNanos, long nowNanos) {
        double own = serverNanos(latencyNanos);
        latency.observe(own, service.meanNanos(), nowNanos);
        service.observe(own);
        lastResponseAtNanos = nowNanos;
    }

    /**
     * Records a failed try or an error response. A fast error counts as a slow response; otherwise
     * a server that fails fast would appear fast and attract calls.
     *
     * @param latencyNanos time from sending to the failure
     * @param nowNanos the current time in nanoseconds
     */
    public void failed(long latencyNanos, long nowNanos) {
        double mean = service.meanNanos();
        latency.observe(Math.max(serverNanos(latencyNanos), ERROR_FACTOR * mean), mean, nowNanos);
        lastResponseAtNanos = nowNanos;
    }

    /**
     * Updates the error rates of this server and of its service.
     *
     * @param error whether it was an error
     * @param nowNanos the current time in nanoseconds
     */
    public void observeError(boolean error, long nowNanos) {
        errorUpdatedAtNanos = nowNanos;
        errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - errorRate);
        service.observeError(error);
    }

    /**
     * Tells whether the error rate of the server is well above that of its service.
     *
     * @return true if its errors are attributed to this server
     */
    public boolean isErrorOutlier() {
        return errorRate > ERROR_OUTLIER_FACTOR * service.errorRate() + ERROR_OUTLIER_MARGIN;
    }

    /**
     * Records the elapsed time of a cancelled try, which is a lower bound of its latency. It is
     * ignored unless it is above the current estimate.
     *
     * @param elapsedNanos time from sending to the cancellation
     * @param nowNanos the current time in nanoseconds
     */
    public void cancelled(long elapsedNanos, long nowNanos) {
        double own = serverNanos(elapsedNanos);
        if (own > latency.value(service.meanNanos(), nowNanos)) {
            latency.observe(own, service.meanNanos(), nowNanos);
        }
    }

    /**
     * Records a load report.
     *
     * @param newInFlight calls that the server processes or queues
     * @param newSlots its slots; values below 1 mean unknown and leave the slots unchanged
     * @param nowNanos the current time in nanoseconds
     */
    public void reported(int newInFlight, int newSlots, long nowNanos) {
        if (newSlots >= 1) {
            slots = newSlots;
        }
        reportedInFlight = newInFlight;
        reportedAtNanos = nowNanos;
        sentSinceReport = 0;
        service.observeUtilisation((double) newInFlight / slots);
    }

    /**
     * Records the slowdown and health of a load report, and ends the penalty for an unanswered
     * probe.
     *
     * @param newSlowdown current processing time relative to the usual one, which is 1
     * @param newUnhealthy whether the server reports that it cannot serve calls
     */
    public void recordSlowdownAndHealth(double newSlowdown, boolean newUnhealthy) {
        slowdown = newSlowdown;
        unhealthy = newUnhealthy;
        probeFailureUntilNanos = NEVER;
    }

    /**
     * Records a probe that was not answered.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void recordProbeFailure(long nowNanos) {
        probeFailureUntilNanos = nowNanos + PROBE_FAILURE_NANOS;
    }

    /**
     * Estimates the response time of one more call from the last report: the wait for a slot, the
     * processing time at the reported slowdown, the cost of failures, and the distance penalty.
     *
     * @param nowNanos the current time in nanoseconds
     * @return nanoseconds; lower is better
     */
    public double expectedNanos(long nowNanos) {
        double work = processingNanos(nowNanos);
        double busy = estimatedInFlight(nowNanos);
        double waiting = Math.max(0, busy + 1 - slots) / slots * work;
        double slotUsage = Math.min(1, busy / slots);
        double expected =
                waiting + work * (1 + UTILISATION_FACTOR * slotUsage) + distance.penaltyNanos();
        double base = service.baselineNanos();
        double rate = errorRateNow(nowNanos);
        if (rate > ERROR_OUTLIER_FACTOR * service.errorRate() + ERROR_OUTLIER_MARGIN) {
            expected += rate * FAILURE_LATENCIES * base;
        }
        if (unhealthy) {
            expected *= UNHEALTHY_FACTOR;
        }
        if (nowNanos < probeFailureUntilNanos) {
            expected += FAILURE_LATENCIES * base;
        }
        return expected;
    }

    /**
     * Tells whether one more call is expected to be answered in the usual time.
     *
     * @param nowNanos the current time in nanoseconds
     * @return true if less than one call is estimated to be in flight and the expected time is
     *     close to the baseline
     */
    public boolean isIdle(long nowNanos) {
        double base = service.baselineNanos();
        return estimatedInFlight(nowNanos) < 1
                && expectedNanos(nowNanos) < IDLE_FACTOR * base + distance.penaltyNanos();
    }

    private double processingNanos(long nowNanos) {
        double weight =
                reportedAtNanos == NEVER
                        ? 0
                        : Math.max(0, 1 - (nowNanos - reportedAtNanos) / SLOWDOWN_VALID_NANOS);
        return service.baselineNanos() * (1 + (slowdown - 1) * weight);
    }

    private double errorRateNow(long nowNanos) {
        return errorRate
                * ERROR_HALF_LIFE_NANOS
                / (ERROR_HALF_LIFE_NANOS + nowNanos - errorUpdatedAtNanos);
    }

    /**
     * Estimates the calls in flight from all instances: the last report, decayed with its age
     * towards the service mean, plus the calls that this instance has sent since; at least the
     * calls of this instance in flight.
     *
     * @param nowNanos the current time in nanoseconds
     * @return the estimated number of calls
     */
    public double estimatedInFlight(long nowNanos) {
        double mean = service.utilisation() * slots;
        if (reportedAtNanos == NEVER) {
            return Math.max(mean, inFlight);
        }
        double half = REPORT_HALF_LATENCIES * service.meanNanos();
        double weight = half / (half + Math.max(0, nowNanos - reportedAtNanos));
        double since = Math.min(sentSinceReport, inFlight);
        return Math.max(mean + (reportedInFlight - mean) * weight + since, inFlight);
    }

    /**
     * Tells whether one more call would probably be processed without waiting.
     *
     * @param nowNanos the current time in nanoseconds
     * @return true if a slot is estimated to be free
     */
    public boolean hasFreeSlot(long nowNanos) {
        return estimatedInFlight(nowNanos) + 1 <= slots;
    }

    /**
     * Estimates the response time of one more call as latency times calls per slot, plus the
     * distance penalty.
     *
     * @param nowNanos the current time in nanoseconds
     * @return the score in nanoseconds; lower is better
     */
    public double scoreNanos(long nowNanos) {
        double mean = service.meanNanos();
        double slow = SLOW_FACTOR * mean;
        double expected = latency.value(mean, nowNanos);
        if (inFlight > 0) {
            expected = Math.max(expected, nowNanos - lastResponseAtNanos);
        }
        double factor = expected > slow ? expected - slow + mean : mean;
        return factor * (estimatedInFlight(nowNanos) + 1) / slots + distance.penaltyNanos();
    }

    /**
     * Returns the expected latency of this server without the network round trip.
     *
     * @param nowNanos the current time in nanoseconds
     * @return nanoseconds, at least the mean of the service
     */
    public double latencyNanos(long nowNanos) {
        double mean = service.meanNanos();
        return Math.max(mean, latency.value(mean, nowNanos));
    }

    /**
     * Subtracts the network round trip from a latency.
     *
     * @param latencyNanos a measured latency
     * @return the part spent in the backend server, in nanoseconds
     */
    public double serverNanos(long latencyNanos) {
        return Math.max(
                latencyNanos - distance.roundTripNanos(), latencyNanos * MIN_SERVER_FRACTION);
    }

    /**
     * Returns the calls of this instance in flight.
     *
     * @return the number of calls
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the calls that the server can process at the same time.
     *
     * @return the slots, at least 1
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the calls in flight of the last report.
     *
     * @return calls in flight, or -1 if there was no report
     */
    public int reportedInFlight() {
        return reportedInFlight;
    }

    /**
     * Returns the age of the last report.
     *
     * @param nowNanos the current time in nanoseconds
     * @return the age in nanoseconds, or -1 if there was no report
     */
    public long reportAgeNanos(long nowNanos) {
        return reportedAtNanos == NEVER ? -1 : nowNanos - reportedAtNanos;
    }

    /**
     * Returns the distance from this instance to the server.
     *
     * @return the distance, own region until configured
     */
    public Distance distance() {
        return distance;
    }
}
