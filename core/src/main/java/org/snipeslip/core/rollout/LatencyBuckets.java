package org.snipeslip.core.rollout;

/** Buckets of response times, two for each doubling from 1 ms on. */
final class LatencyBuckets {
    static final int COUNT = 36;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PER_DOUBLING = 2;

    private LatencyBuckets() {}

    static int of(double nanos) {
        double millis = Math.max(1, nanos / NANOS_PER_MILLI);
        return Math.min(COUNT - 1, (int) (PER_DOUBLING * Math.log(millis) / Math.log(2)));
    }

    /** Returns the lowest bucket up to which a part of the counts lies. */
    static int quantile(double[] counts, double part) {
        double total = sum(counts, 0);
        double below = 0;
        for (int bucket = 0; bucket < COUNT; bucket++) {
            below += counts[bucket];
            if (below >= part * total) {
                return bucket;
            }
        }
        return COUNT - 1;
    }

    /** Returns the sum of the counts from a bucket on. */
    static double sum(double[] counts, int from) {
        double sum = 0;
        for (int bucket = from; bucket < COUNT; bucket++) {
            sum += counts[bucket];
        }
        return sum;
    }
}
