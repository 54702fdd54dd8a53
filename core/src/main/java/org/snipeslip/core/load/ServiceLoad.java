package org.snipeslip.core.load;

/** Means over all backend servers of a service, to which data about one of them decays. */
public final class ServiceLoad {
    private static final double MEAN_WEIGHT = 0.02;
    private static final double UTILISATION_WEIGHT = 0.05;
    private static final double BASELINE_FALL_WEIGHT = 0.05;

    /**
     * The baseline rises slowly: overload of the whole service must not become its normal state.
     */
    private static final double BASELINE_RISE_WEIGHT = 0.0005;

    private static final double ERROR_WEIGHT = 0.01;
    private static final int KNOWN_SAMPLES = 200;
    private static final double FIRST_MEAN_NANOS = 1e6;

    private double meanNanos = FIRST_MEAN_NANOS;
    private double baselineNanos = FIRST_MEAN_NANOS;
    private double utilisation;
    private double errorRate;
    private boolean hasSample;
    private int samples;

    /**
     * Takes the latency of a good response.
     *
     * @param latencyNanos time to the head, without the network's part
     */
    public void observe(double latencyNanos) {
        samples = Math.min(samples + 1, KNOWN_SAMPLES);
        if (!hasSample) {
            hasSample = true;
            meanNanos = latencyNanos;
            baselineNanos = latencyNanos;
            return;
        }
        meanNanos += MEAN_WEIGHT * (latencyNanos - meanNanos);
        double weight = meanNanos < baselineNanos ? BASELINE_FALL_WEIGHT : BASELINE_RISE_WEIGHT;
        baselineNanos += weight * (meanNanos - baselineNanos);
    }

    /**
     * Takes what the service is expected to need, until the first response shows it.
     *
     * @param latencyNanos expected latency
     */
    public void expect(double latencyNanos) {
        if (!hasSample) {
            meanNanos = latencyNanos;
            baselineNanos = latencyNanos;
        }
    }

    /**
     * Takes a load report of one backend server.
     *
     * @param perSlot calls in flight over slots
     */
    void observeUtilisation(double perSlot) {
        utilisation += UTILISATION_WEIGHT * (perSlot - utilisation);
    }

    /**
     * Counts a response or failure of any backend server.
     *
     * @param error whether it was an error
     */
    void observeError(boolean error) {
        errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - errorRate);
    }

    /**
     * Returns the part of responses that are errors.
     *
     * @return the rate, from 0 to 1
     */
    double errorRate() {
        return errorRate;
    }

    /**
     * Returns the mean latency.
     *
     * @return the mean in nanoseconds
     */
    public double meanNanos() {
        return meanNanos;
    }

    /**
     * Tells whether there are enough samples to judge how long a call may wait. The first responses
     * after a process start are slow because connections are opened and code is not compiled yet.
     *
     * @return true after the first samples
     */
    public boolean isKnown() {
        return samples == KNOWN_SAMPLES;
    }

    /**
     * Returns the latency that the service has when it is not overloaded.
     *
     * @return the baseline in nanoseconds
     */
    public double baselineNanos() {
        return baselineNanos;
    }

    /**
     * Returns the mean of the reported calls in flight per slot.
     *
     * @return the utilisation, above 1 when calls queue at the backend servers
     */
    public double utilisation() {
        return utilisation;
    }
}
