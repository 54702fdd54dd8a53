package org.snipeslip.core.once;

/**
 * Settings of at-most-once claims. Times are in milliseconds.
 *
 * @param durablePartitions partitions of the group of unbound calls
 * @param boundPartitions partitions of each group of region-bound calls
 * @param writesPerSecond appends and deletions of one partition per second
 * @param leaseMillis time since the start of its last append during which an owner knows that
 *     nobody took the partition over
 * @param marginMillis added to the lease by a taker, for clocks that run at different rates
 * @param renewMillis age of the last append at which an idle owner appends an empty segment
 * @param retentionMillis time that a record is kept after its last change
 * @param trustMillis an append that ends later than this after the last confirmed one is not
 *     trusted, because its key may have been used and deleted by a later owner in the meantime
 * @param deleteDelayMillis least time between learning of a segment and deleting it; must exceed
 *     trustMillis
 * @param askTimeoutMillis time that an asker waits for a decision
 * @param retryMillis time until an asker asks again after {@code NOT_OWNER}, and least back-off
 * @param retryMaxMillis largest back-off of object API calls
 * @param flushMillis longest time that an outcome waits for the next append
 * @param handoverMillis time that a taker of a bound partition waits for the records of a living
 *     owner, and that an owner offers them
 * @param maxRecords records of one partition; a full one refuses new keys
 * @param maxWaiting claims waiting in one partition; further ones are refused
 * @param maxClaims claims open at one asker; further ones are refused
 * @param maxGroups groups of region-bound calls at one owner; asks for others are refused
 * @param maxSegmentBytes size of a segment or handover message
 * @param checkpointSegments segments after which a checkpoint begins
 * @param readsPerSecond reads of ownership objects per second
 */
public record OnceSettings(
        int durablePartitions,
        int boundPartitions,
        int writesPerSecond,
        long leaseMillis,
        long marginMillis,
        long renewMillis,
        long retentionMillis,
        long trustMillis,
        long deleteDelayMillis,
        long askTimeoutMillis,
        long retryMillis,
        long retryMaxMillis,
        long flushMillis,
        long handoverMillis,
        int maxRecords,
        int maxWaiting,
        int maxClaims,
        int maxGroups,
        int maxSegmentBytes,
        int checkpointSegments,
        int readsPerSecond) {
    /** Nanoseconds per millisecond. */
    static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Defaults. 32 idle partitions that append every 4 s make 8 appends per second in total, of the
     * several hundred writes per second that the object API takes; a taker waits 7 s.
     */
    public static final OnceSettings DEFAULT =
            new OnceSettings(
                    32,
                    4,
                    8,
                    6_000,
                    1_000,
                    4_000,
                    600_000,
                    60_000,
                    120_000,
                    2_000,
                    200,
                    5_000,
                    1_000,
                    5_000,
                    65_536,
                    4_096,
                    16_384,
                    32,
                    512 * 1024,
                    256,
                    10);

    /**
     * Checks the relations that safety depends on.
     *
     * @throws IllegalArgumentException if one does not hold
     */
    public OnceSettings {
        if (deleteDelayMillis <= trustMillis) {
            throw new IllegalArgumentException("deleteDelayMillis must exceed trustMillis");
        }
        if (retentionMillis <= leaseMillis + marginMillis) {
            throw new IllegalArgumentException("retentionMillis must exceed the lease and margin");
        }
    }

    long leaseNanos() {
        return leaseMillis * NANOS_PER_MILLI;
    }

    long takeoverNanos() {
        return (leaseMillis + marginMillis) * NANOS_PER_MILLI;
    }

    long retentionNanos() {
        return retentionMillis * NANOS_PER_MILLI;
    }

    long writeIntervalNanos() {
        return 1_000 * NANOS_PER_MILLI / writesPerSecond;
    }

    long readIntervalNanos() {
        return 1_000 * NANOS_PER_MILLI / readsPerSecond;
    }
}
