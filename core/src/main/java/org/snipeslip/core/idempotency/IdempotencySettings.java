package org.snipeslip.core.idempotency;

/**
 * Settings of at-most-once claims.
 *
 * @param durablePartitions number of partitions of the group of calls that are not bound to regions
 * @param boundPartitions number of partitions of each group of region-bound calls
 * @param writesPerSecond limit on appends and deletions of one partition per second
 * @param leaseMillis time since the start of its last append during which an owner knows that no
 *     other instance took the partition over
 * @param clockMarginMillis added to the lease by an instance that takes a partition over, because
 *     clocks run at different rates
 * @param renewMillis time since the last append at which an idle owner appends an empty segment
 * @param retentionMillis time for which a record is kept after its last change
 * @param appendTrustMillis an append that completes later than this after the last confirmed append
 *     is not trusted, because a later owner may have created and deleted the same object in the
 *     meantime
 * @param deleteDelayMillis minimum time between learning of a segment and deleting it; must exceed
 *     appendTrustMillis
 * @param claimTimeoutMillis time that a requester waits for the decision on a claim
 * @param retryMillis time until a claim is sent again after {@code NOT_OWNER}, and minimum back-off
 * @param retryMaxMillis maximum back-off of object API calls
 * @param outcomeFlushMillis maximum time that an outcome waits for the next append
 * @param handoverTimeoutMillis time that the new owner of an in-memory partition waits for the
 *     records of a live previous owner, and that the previous owner sends them
 * @param maxRecords maximum records of one partition; a full partition refuses new keys
 * @param maxWaitingClaims maximum claims waiting in one partition; further claims are refused
 * @param maxOpenClaims maximum claims of one requester that are waiting or granted; further ones
 *     are refused
 * @param maxBoundGroups maximum groups of region-bound calls served by one instance; claims for
 *     other groups are refused
 * @param maxSegmentBytes maximum size of a segment or handover message
 * @param checkpointSegments number of segments after which a checkpoint begins
 * @param ownershipReadsPerSecond limit on reads of ownership objects by one instance per second
 */
public record IdempotencySettings(
        int durablePartitions,
        int boundPartitions,
        int writesPerSecond,
        long leaseMillis,
        long clockMarginMillis,
        long renewMillis,
        long retentionMillis,
        long appendTrustMillis,
        long deleteDelayMillis,
        long claimTimeoutMillis,
        long retryMillis,
        long retryMaxMillis,
        long outcomeFlushMillis,
        long handoverTimeoutMillis,
        int maxRecords,
        int maxWaitingClaims,
        int maxOpenClaims,
        int maxBoundGroups,
        int maxSegmentBytes,
        int checkpointSegments,
        int ownershipReadsPerSecond) {
    /** Nanoseconds per millisecond. */
    static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Default settings. 32 idle partitions that append every 4 s make 8 appends per second in
     * total, out of the several hundred writes per second that the object API supports. A takeover
     * without a handover waits for 7 s, the lease plus the margin.
     */
    public static final IdempotencySettings DEFAULT =
            new IdempotencySettings(
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
     * Validates the relations between settings on which at-most-once execution depends.
     *
     * @throws IllegalArgumentException if a relation is violated
     */
    public IdempotencySettings {
        if (deleteDelayMillis <= appendTrustMillis) {
            throw new IllegalArgumentException(
                    "deleteDelayMillis "
                            + deleteDelayMillis
                            + " must exceed appendTrustMillis "
                            + appendTrustMillis);
        }
        if (retentionMillis <= leaseMillis + clockMarginMillis) {
            throw new IllegalArgumentException(
                    "retentionMillis "
                            + retentionMillis
                            + " must exceed leaseMillis + clockMarginMillis "
                            + (leaseMillis + clockMarginMillis));
        }
    }

    long leaseNanos() {
        return leaseMillis * NANOS_PER_MILLI;
    }

    long takeoverNanos() {
        return (leaseMillis + clockMarginMillis) * NANOS_PER_MILLI;
    }

    long retentionNanos() {
        return retentionMillis * NANOS_PER_MILLI;
    }

    long writeIntervalNanos() {
        return 1_000 * NANOS_PER_MILLI / writesPerSecond;
    }

    long readIntervalNanos() {
        return 1_000 * NANOS_PER_MILLI / ownershipReadsPerSecond;
    }
}
