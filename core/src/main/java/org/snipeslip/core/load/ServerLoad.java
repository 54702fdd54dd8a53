package org.snipeslip.core.load;

/**
 * Load data of one backend server at one instance: own calls in flight, latency, and the load that
 * the server reported with its age. Guarded by the lock of the shard.
 */
public final class ServerLoad {
    /** No report arrived yet. */
    public static final long NEVER = Long.MIN_VALUE;

    /** A failed try counts as a response this many times slower than the mean. */
    private static final double ERROR_FACTOR = 10;

    /**
     * Below this many times the service mean a latency counts as the mean: service times vary, and
     * ranking servers by noise would load some of them more than others.
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

    /** A pace that was reported says nothing after this time; it changes many times a second. */
    private static final double PACE_NANOS = 150e6;

    /** Work takes up to this much longer on a server whose slots are nearly all in use. */
    private static final double FULL_FACTOR = 0.5;

    /** A failure costs the caller about this many latencies. */
    private static final double FAILURE_LATENCIES = 6;

    /** A server that says it cannot serve counts as this many times slower; it may be wrong. */
    private static final double UNWELL_FACTOR = 3;

    /** A server this much slower than the baseline is no longer at its usual pace. */
    private static final double IDLE_FACTOR = 1.3;

    /** Half of an error rate is forgotten after this time without calls. */
    private static final double ERROR_HALF_NANOS = 3e9;

    /** A server that did not answer a probe is avoided for this time. */
    private static final long SILENT_NANOS = 1_000_000_000;

    /** The smallest share of a latency that is attributed to the backend server. */
    private static final double SERVER_SHARE = 0.1;

    private final ServiceLoad service;
    private final PeakEwma latency = new PeakEwma();
    private Distance distance = Distance.OWN_REGION;
    private int slots = 1;
    private int inFlight;
    private int reportedInFlight = -1;
    private long reportedAtNanos = NEVER;
    private int sentSinceReport;
    private long heardAtNanos;
    private double errorRate;
    private long errorSeenNanos;
    private double slowdown = 1;
    private boolean unwell;
    private long silentUntilNanos = NEVER;

    /**
     * Creates the data of a backend server that is not known yet.
     *
     * @param service the means of its service
     */
    public ServerLoad(ServiceLoad service) {
        this.service = service;
    }

    /**
     * Takes the configured facts.
     *
     * @param newDistance where the server stands
     * @param newSlots calls it can work on at once, at least 1
     */
    public void configure(Distance newDistance, int newSlots) {
        distance = newDistance;
        slots = Math.max(1, newSlots);
    }

    /**
     * Counts a try that is sent.
     *
     * @param nowNanos the time
     */
    public void sent(long nowNanos) {
        if (inFlight == 0) {
            heardAtNanos = nowNanos;
        }
        inFlight++;
        sentSinceReport++;
    }

    /** Counts a try that ended, in whatever way. */
    public void ended() {
        inFlight--;
    }

    /**
     * Takes the latency of a good response.
     *
     * @param latencyNanos time from sending to the head
     * @param nowNanos the time
     */
    public void responded(long latencyNanos, long nowNanos) {
        double own = serverNanos(latencyNanos);
        latency.observe(own, service.meanNanos(), nowNanos);
        service.observe(own);
        heardAtNanos = nowNanos;
    }

    /**
     * Takes a failed try or an error response. A fast error counts as a slow response; otherwise a
     * server that fails fast would look fast and attract calls.
     *
     * @param latencyNanos time from sending to the failure
     * @param nowNanos the time
     */
    public void failed(long latencyNanos, long nowNanos) {
        double mean = service.meanNanos();
        latency.observe(Math.max(serverNanos(latencyNanos), ERROR_FACTOR * mean), mean, nowNanos);
        heardAtNanos = nowNanos;
    }

    /**
     * Counts a response or failure in the error rate.
     *
     * @param error whether it was an error
     * @param nowNanos the time
     */
    public void observeError(boolean error, long nowNanos) {
        errorSeenNanos = nowNanos;
        errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - errorRate);
        service.observeError(error);
    }

    /**
     * Tells whether the server fails more often than the others.
     *
     * @return true if its errors count against it
     */
    public boolean isErrorOutlier() {
        return errorRate > ERROR_OUTLIER_FACTOR * service.errorRate() + ERROR_OUTLIER_MARGIN;
    }

    /**
     * Takes the elapsed time of a try that was cancelled; its latency is at least that.
     *
     * @param elapsedNanos time from sending to the cancellation
     * @param nowNanos the time
     */
    public void cancelled(long elapsedNanos, long nowNanos) {
        double own = serverNanos(elapsedNanos);
        if (own > latency.value(service.meanNanos(), nowNanos)) {
            latency.observe(own, service.meanNanos(), nowNanos);
        }
    }

    /**
     * Takes a load report.
     *
     * @param newInFlight calls that the server works on or holds
     * @param newSlots its slots, or a value below 1 if unknown
     * @param nowNanos the time
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
     * Takes what came with a load report.
     *
     * @param newSlowdown how long work takes now, relative to the usual 1
     * @param newUnwell whether the server says that it cannot serve
     */
    public void recordSlowdownAndHealth(double newSlowdown, boolean newUnwell) {
        slowdown = newSlowdown;
        unwell = newUnwell;
        silentUntilNanos = NEVER;
    }

    /**
     * Notes a probe without an answer.
     *
     * @param nowNanos the time
     */
    public void recordProbeFailure(long nowNanos) {
        silentUntilNanos = nowNanos + SILENT_NANOS;
    }

    /**
     * Returns the time to the answer of one more call that is expected by the last report: the wait
     * for a slot, the work at the reported pace, the cost of failures, and the distance.
     *
     * @param nowNanos the time
     * @return nanoseconds; lower is better
     */
    public double expectedNanos(long nowNanos) {
        double work = workNanos(nowNanos);
        double busy = estimatedInFlight(nowNanos);
        double waiting = Math.max(0, busy + 1 - slots) / slots * work;
        double usage = Math.min(1, busy / slots);
        double expected = waiting + work * (1 + FULL_FACTOR * usage) + distance.penaltyNanos();
        double base = service.baselineNanos();
        double rate = errorRateNow(nowNanos);
        if (rate > ERROR_OUTLIER_FACTOR * service.errorRate() + ERROR_OUTLIER_MARGIN) {
            expected += rate * FAILURE_LATENCIES * base;
        }
        if (unwell) {
            expected *= UNWELL_FACTOR;
        }
        if (nowNanos < silentUntilNanos) {
            expected += FAILURE_LATENCIES * base;
        }
        return expected;
    }

    /**
     * Tells whether the last report promises an answer in the usual time.
     *
     * @param nowNanos the time
     * @return true if no slot is in use, the pace is about the usual and nothing speaks against it
     */
    public boolean isIdle(long nowNanos) {
        double base = service.baselineNanos();
        return estimatedInFlight(nowNanos) < 1
                && expectedNanos(nowNanos) < IDLE_FACTOR * base + distance.penaltyNanos();
    }

    private double workNanos(long nowNanos) {
        double kept =
                reportedAtNanos == NEVER
                        ? 0
                        : Math.max(0, 1 - (nowNanos - reportedAtNanos) / PACE_NANOS);
        return service.baselineNanos() * (1 + (slowdown - 1) * kept);
    }

    private double errorRateNow(long nowNanos) {
        return errorRate * ERROR_HALF_NANOS / (ERROR_HALF_NANOS + nowNanos - errorSeenNanos);
    }

    /**
     * Estimates the calls in flight of all instances: the report, decayed with its age towards the
     * service mean, and own calls sent since; at least the own calls in flight.
     *
     * @param nowNanos the time
     * @return the estimate
     */
    public double estimatedInFlight(long nowNanos) {
        double mean = service.utilisation() * slots;
        if (reportedAtNanos == NEVER) {
            return Math.max(mean, inFlight);
        }
        double half = REPORT_HALF_LATENCIES * service.meanNanos();
        double kept = half / (half + Math.max(0, nowNanos - reportedAtNanos));
        double since = Math.min(sentSinceReport, inFlight);
        return Math.max(mean + (reportedInFlight - mean) * kept + since, inFlight);
    }

    /**
     * Tells whether one more call would probably start at once.
     *
     * @param nowNanos the time
     * @return true if a slot is estimated to be free
     */
    public boolean hasFreeSlot(long nowNanos) {
        return estimatedInFlight(nowNanos) + 1 <= slots;
    }

    /**
     * Returns the expected time to an answer of one more call: latency times calls per slot, plus
     * the distance.
     *
     * @param nowNanos the time
     * @return the score in nanoseconds; lower is better
     */
    public double scoreNanos(long nowNanos) {
        double mean = service.meanNanos();
        double slow = SLOW_FACTOR * mean;
        double expected = latency.value(mean, nowNanos);
        if (inFlight > 0) {
            expected = Math.max(expected, nowNanos - heardAtNanos);
        }
        double factor = expected > slow ? expected - slow + mean : mean;
        return factor * (estimatedInFlight(nowNanos) + 1) / slots + distance.penaltyNanos();
    }

    /**
     * Returns the latency that is expected of this server.
     *
     * @param nowNanos the time
     * @return nanoseconds, at least the mean of the service
     */
    public double latencyNanos(long nowNanos) {
        double mean = service.meanNanos();
        return Math.max(mean, latency.value(mean, nowNanos));
    }

    /**
     * Removes the network's part of a latency.
     *
     * @param latencyNanos a measured latency
     * @return the part of the backend server
     */
    public double serverNanos(long latencyNanos) {
        return Math.max(latencyNanos - distance.roundTripNanos(), latencyNanos * SERVER_SHARE);
    }

    /**
     * Returns the own calls in flight.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the calls it can work on at once.
     *
     * @return the slots
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the last reported load.
     *
     * @return calls in flight, or -1 if there was no report
     */
    public int reportedInFlight() {
        return reportedInFlight;
    }

    /**
     * Returns the age of the last report.
     *
     * @param nowNanos the time
     * @return the age in nanoseconds, or -1 if there was no report
     */
    public long reportAgeNanos(long nowNanos) {
        return reportedAtNanos == NEVER ? -1 : nowNanos - reportedAtNanos;
    }

    /**
     * Returns where the server stands.
     *
     * @return the distance
     */
    public Distance distance() {
        return distance;
    }
}
