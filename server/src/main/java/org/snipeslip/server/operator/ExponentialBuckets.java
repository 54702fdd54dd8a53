package org.snipeslip.server.operator;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.WeightedSnapshot;
import com.codahale.metrics.WeightedSnapshot.WeightedSample;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts durations in nanoseconds in buckets whose upper bounds double from 16 microseconds, as a
 * Prometheus histogram requires. An update only increments counters, which is cheaper than a
 * sampling reservoir.
 */
final class ExponentialBuckets implements Reservoir {
    static final int BUCKETS = 22;
    private static final long FIRST_UPPER_BOUND_NANOS = 16_000;

    private final LongAdder[] counts = new LongAdder[BUCKETS];
    private final LongAdder sumNanos = new LongAdder();

    ExponentialBuckets() {
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] = new LongAdder();
        }
    }

    @Override
    public int size() {
        return BUCKETS;
    }

    @Override
    public void update(long nanos) {
        counts[indexOf(nanos)].increment();
        sumNanos.add(nanos);
    }

    @Override
    public Snapshot getSnapshot() {
        List<WeightedSample> samples = new ArrayList<>(BUCKETS);
        for (int i = 0; i < BUCKETS; i++) {
            samples.add(new WeightedSample(upperBoundNanos(i), count(i)));
        }
        return new WeightedSnapshot(samples);
    }

    /** Returns the inclusive upper bound of a bucket; the last bucket is unbounded. */
    static long upperBoundNanos(int index) {
        return FIRST_UPPER_BOUND_NANOS << index;
    }

    long count(int index) {
        return counts[index].sum();
    }

    long sumNanos() {
        return sumNanos.sum();
    }

    private static int indexOf(long nanos) {
        int index = 0;
        while (index < BUCKETS - 1 && nanos > upperBoundNanos(index)) {
            index++;
        }
        return index;
    }
}
