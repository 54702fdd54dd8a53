package org.snipeslip.core.ratelimit;

/**
 * Counts the calls that were sent within a sliding window. Calls are counted in buckets, so memory
 * does not grow with their number; the bucket in which a window begins counts as a whole.
 */
public final class CallWindow {
    private static final long BUCKET_NANOS = 100_000_000;

    private final int[] counts;
    private long lastBucket;
    private boolean empty = true;

    /**
     * Creates an empty window.
     *
     * @param maxNanos greatest length that is asked for
     */
    public CallWindow(long maxNanos) {
        counts = new int[(int) (maxNanos / BUCKET_NANOS) + 2];
    }

    /**
     * Counts a call.
     *
     * @param atNanos when it is or was sent; not longer ago than the greatest length
     * @param nowNanos the current time
     */
    public void add(long atNanos, long nowNanos) {
        advance(nowNanos);
        counts[indexOf(bucketOf(atNanos))]++;
    }

    /**
     * Takes back a call that was counted but turned out not to count.
     *
     * @param atNanos the time at which it was counted
     * @param nowNanos the current time
     */
    public void remove(long atNanos, long nowNanos) {
        advance(nowNanos);
        long bucket = bucketOf(atNanos);
        int index = indexOf(bucket);
        if (lastBucket - bucket < counts.length && counts[index] > 0) {
            counts[index]--;
        }
    }

    /**
     * Returns the number of calls in a window that ends now, or a little more.
     *
     * @param lengthNanos length of the window
     * @param nowNanos the current time
     * @return the number of calls
     */
    public int count(long lengthNanos, long nowNanos) {
        advance(nowNanos);
        int sum = 0;
        for (long bucket = bucketOf(nowNanos - lengthNanos); bucket <= lastBucket; bucket++) {
            sum += counts[indexOf(bucket)];
        }
        return sum;
    }

    /**
     * Returns when a window of a length will contain less than a number of calls.
     *
     * @param calls the number, at least 1
     * @param lengthNanos length of the window
     * @param nowNanos the current time
     * @return the time, now or later
     */
    public long lessThanNanos(int calls, long lengthNanos, long nowNanos) {
        int count = count(lengthNanos, nowNanos);
        if (count < calls) {
            return nowNanos;
        }
        long bucket = bucketOf(nowNanos - lengthNanos);
        while ((count -= counts[indexOf(bucket)]) >= calls) {
            bucket++;
        }
        return (bucket + 1) * BUCKET_NANOS + lengthNanos;
    }

    private void advance(long nowNanos) {
        long bucket = bucketOf(nowNanos);
        if (empty) {
            empty = false;
            lastBucket = bucket;
            return;
        }
        long from = Math.max(lastBucket, bucket - counts.length);
        for (long cleared = from + 1; cleared <= bucket; cleared++) {
            counts[indexOf(cleared)] = 0;
        }
        lastBucket = Math.max(lastBucket, bucket);
    }

    private int indexOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) counts.length);
    }

    private static long bucketOf(long nanos) {
        return Math.floorDiv(nanos, BUCKET_NANOS);
    }
}
