package org.snipeslip.core.load;

/**
 * Exponentially weighted mean of latencies that rises faster than it falls (peak EWMA, as in
 * Finagle). Without samples it decays towards the mean of the service, so that a backend server
 * that was slow once receives calls again.
 */
final class PeakEwma {
    private static final double RISE_WEIGHT = 0.3;
    private static final double FALL_WEIGHT = 0.15;

    /** The difference from the service mean is halved after this time without samples. */
    private static final double HALF_LIFE_NANOS = 500e6;

    private double value;
    private long sampledAtNanos;
    private boolean hasSample;

    void observe(double sampleNanos, double meanNanos, long nowNanos) {
        double previous = value(meanNanos, nowNanos);
        value =
                previous
                        + (sampleNanos > previous ? RISE_WEIGHT : FALL_WEIGHT)
                                * (sampleNanos - previous);
        sampledAtNanos = nowNanos;
        hasSample = true;
    }

    double value(double meanNanos, long nowNanos) {
        if (!hasSample) {
            return meanNanos;
        }
        double remainingFraction =
                HALF_LIFE_NANOS / (HALF_LIFE_NANOS + Math.max(0, nowNanos - sampledAtNanos));
        return meanNanos + (value - meanNanos) * remainingFraction;
    }
}
