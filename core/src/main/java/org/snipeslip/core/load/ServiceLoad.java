package org.snipeslip.core.load;

/** Means over all backend servers of a service, towards which the data of each server decays. */
public final class ServiceLoad {
    private static final double MEAN_WEIGHT = 0.02;
    private static final double UTILISATION_WEIGHT = 0.05;
    private static final double BASELINE_FALL_WEIGHT = 0.05;

    /** The baseline rises slowly: overload of the whole service must not become its baseline. */
    private static final double BASELINE_RISE_WEIGHT = 0.0005;

    private static final double ERROR_WEIGHT = 0.01;
    private static final int MIN_SAMPLES = 200;
    private static final double INITIAL_MEAN_NANOS = 1e6;

    private double meanNanos = INITIAL_MEAN_NANOS;
    private double baselineNanos = INITIAL_MEAN_NANOS;
    private double utilisation;
    private double errorRate;
    private boolean hasSample;
    private int samples;

    /**
     * Records the latency of a successful response.
     *
     * @param latencyNanos time to the response head in nanoseconds, without the network round trip
     */
    public void observe(double latencyNanos) {
        samples = Math.min(samples + 1, MIN_SAMPLES);
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
     * Sets the mean and the baseline that apply until the first response is observed.
     *
     * @param latencyNanos expected latency in nanoseconds
     */
    public void expect(double latencyNanos) {
        if (!hasSample) {
            meanNanos = latencyNanos;
            baselineNanos = latencyNanos;
        }
    }

    /**
     * Records the utilisation from a load report of one backend server.
     *
     * @param perSlot calls in flight over slots
     */
    void observeUtilisation(double perSlot) {
        utilisation += UTILISATION_WEIGHT * (perSlot - utilisation);
    }

    /**
     * Updates the error rate with a response or failure of any backend server.
     *
     * @param error whether it was an error
     */
    void observeError(boolean error) {
        errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - errorRate);
    }

    /**
     * Returns the moving average of the fraction of tries that end with an error.
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
     * Tells whether there are enough samples to limit how long a call may wait. The first responses
     * after a process start are slow because connections are opened and code is not compiled yet.
     *
     * @return true after 200 responses
     */
    public boolean isKnown() {
        return samples == MIN_SAMPLES;
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
