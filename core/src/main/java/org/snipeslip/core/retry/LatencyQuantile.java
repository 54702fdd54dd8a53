package org.snipeslip.core.retry;

/**
 * Running estimate of a latency quantile that moves in multiplicative steps (frugal streaming). It
 * needs constant memory and adapts when the latency of a service changes.
 */
public final class LatencyQuantile {
    private static final double STEP = 0.1;
    private static final int MIN_SAMPLES = 100;

    private final double quantile;
    private double estimateNanos;
    private int samples;

    /**
     * Creates an estimate without samples.
     *
     * @param quantile the quantile, between 0 and 1
     */
    public LatencyQuantile(double quantile) {
        this.quantile = quantile;
    }

    /**
     * Updates the estimate with a sample.
     *
     * @param latencyNanos the latency in nanoseconds
     */
    public void observe(long latencyNanos) {
        if (samples == 0) {
            estimateNanos = Math.max(1, latencyNanos);
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
        estimateNanos *=
                latencyNanos > estimateNanos ? 1 + STEP * quantile : 1 - STEP * (1 - quantile);
    }

    /**
     * Returns the estimate.
     *
     * @return the latency in nanoseconds, or -1 while there are fewer than 100 samples
     */
    public long nanos() {
        return samples < MIN_SAMPLES ? -1 : (long) estimateNanos;
    }
}
