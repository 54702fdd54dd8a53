package org.snipeslip.core.idempotency;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * The log of one partition in the object API. A segment is created only if its key does not exist,
 * so only one of two concurrent writers succeeds. At most one append is in flight. It is repeated
 * unchanged until it is known to have succeeded or failed. The I/O layer must complete every object
 * API call with an answer.
 *
 * <p>Segments before the base sequence number are deleted one at a time within the write rate.
 * Their number is at most the checkpoint interval plus the writes that the rate allows during the
 * deletion delay.
 */
final class PartitionLog {
    private final PartitionId id;
    private final IdempotencyContext context;
    private final Partition partition;
    private final TreeMap<Long, KnownSegment> segmentsBySequence = new TreeMap<>();

    private long lastSequence;
    private long base = 1;
    private long checkpointEndSequence;
    private long confirmedNanos;
    private long nextWriteNanos;
    private boolean lastWriteWasDeletion;
    private PendingAppend pendingAppend;
    private long listCall;
    private long listStartNanos;
    private LogContents contents;
    private long deleteCall;
    private long deletingSequence;
    private int failures;
    private long retryNanos;

    PartitionLog(PartitionId id, IdempotencyContext context, Partition partition, long nowNanos) {
        this.id = id;
        this.context = context;
        this.partition = partition;
        this.nextWriteNanos = nowNanos;
        this.retryNanos = nowNanos;
    }

    boolean isBusy() {
        return pendingAppend != null || listCall != 0;
    }

    boolean mayWrite(long nowNanos) {
        return pendingAppend == null && nowNanos - nextWriteNanos >= 0;
    }

    long nextWriteNanos() {
        return nextWriteNanos;
    }

    long retryNanos() {
        return retryNanos;
    }

    long nextSequence() {
        return lastSequence + 1;
    }

    /**
     * Returns the segments since the end of the last checkpoint or, before the first, since the
     * base.
     */
    long segmentsSinceCheckpoint() {
        return lastSequence + 1 - Math.max(base, checkpointEndSequence);
    }

    long base() {
        return base;
    }

    /** Start time of the last successful append, or of the listing that a takeover is based on. */
    long confirmedNanos() {
        return confirmedNanos;
    }

    LogContents contents() {
        return contents;
    }

    /** Returns the listed contents and releases them. */
    LogContents removeContents() {
        LogContents removed = contents;
        contents = null;
        return removed;
    }

    void list(long nowNanos) {
        listStartNanos = nowNanos;
        listCall = context.callStore(partition, new StoreRequest.ListPrefix(id.logPrefix()));
    }

    /** Adopts the listed log; the next append must be the takeover segment. */
    void startTakeover(long nowNanos) {
        lastSequence = contents.lastSequence();
        base = contents.baseSequence();
        confirmedNanos = listStartNanos;
        segmentsBySequence.clear();
        contents.versions()
                .forEach(
                        (seq, version) ->
                                segmentsBySequence.put(seq, new KnownSegment(version, nowNanos)));
    }

    void append(Segment.Kind kind, List<ClaimRecord> records, long newBaseSequence, long nowNanos) {
        Segment segment = new Segment(kind, context.nextWriteId(), newBaseSequence, records);
        pendingAppend = new PendingAppend(lastSequence + 1, segment, nowNanos);
        create(nowNanos);
    }

    /** Repeats the pending write or read once its back-off has passed. */
    void run(long nowNanos) {
        if (pendingAppend == null || pendingAppend.call != 0 || nowNanos - retryNanos < 0) {
            return;
        }
        if (pendingAppend.needsVerification) {
            read();
        } else if (nowNanos - nextWriteNanos >= 0) {
            create(nowNanos);
        }
    }

    void scheduleRetry(PartitionTimer timer) {
        if (pendingAppend != null && pendingAppend.call == 0) {
            boolean limitedByRate =
                    !pendingAppend.needsVerification && nextWriteNanos - retryNanos > 0;
            timer.schedule(limitedByRate ? nextWriteNanos : retryNanos);
        }
    }

    Result answered(long call, StoreAnswer answer, long nowNanos) {
        if (call == deleteCall) {
            deleteCall = 0;
            if (!(answer instanceof StoreAnswer.Failed)) {
                segmentsBySequence.remove(deletingSequence);
            }
            return Result.NONE;
        }
        if (call == listCall) {
            listCall = 0;
            return listAnswered(answer, nowNanos);
        }
        if (pendingAppend == null || call != pendingAppend.call) {
            return Result.NONE;
        }
        pendingAppend.call = 0;
        return pendingAppend.needsVerification
                ? verificationAnswered(answer, nowNanos)
                : createAnswered(answer, nowNanos);
    }

    /** Deletes the oldest segment if no reader needs it any more. */
    void deleteOldest(long nowNanos) {
        long delayNanos =
                context.settings.deleteDelayMillis() * IdempotencySettings.NANOS_PER_MILLI;
        Map.Entry<Long, KnownSegment> oldest = oldestDeletable(nowNanos - delayNanos);
        if (oldest == null || deleteCall != 0) {
            return;
        }
        deletingSequence = oldest.getKey();
        lastWriteWasDeletion = true;
        nextWriteNanos = nowNanos + context.settings.writeIntervalNanos();
        deleteCall =
                context.callStore(
                        partition,
                        new StoreRequest.Delete(
                                id.segmentKey(deletingSequence), oldest.getValue().version()));
    }

    /**
     * Returns whether a deletion must precede the next append. Once more segments than the
     * checkpoint interval wait for deletion, every second write is a deletion, so that the log
     * stays bounded.
     */
    boolean isDeletionUrgent(long nowNanos) {
        return !lastWriteWasDeletion
                && segmentsBySequence.headMap(base).size() > context.settings.checkpointSegments()
                && canDelete(nowNanos);
    }

    boolean canDelete(long nowNanos) {
        long delayNanos =
                context.settings.deleteDelayMillis() * IdempotencySettings.NANOS_PER_MILLI;
        return deleteCall == 0 && oldestDeletable(nowNanos - delayNanos) != null;
    }

    private Map.Entry<Long, KnownSegment> oldestDeletable(long learnedBeforeNanos) {
        Map.Entry<Long, KnownSegment> oldest = segmentsBySequence.firstEntry();
        boolean deletable =
                oldest != null
                        && oldest.getKey() < base
                        && oldest.getValue().learnedNanos() - learnedBeforeNanos <= 0;
        return deletable ? oldest : null;
    }

    private Result listAnswered(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Listed listed) {
            Either<LogContents.ReadError, LogContents> parsed =
                    LogContents.of(id, listed.objects());
            if (parsed.isRight()) {
                contents = parsed.get();
                failures = 0;
                return Result.LISTED;
            }
        }
        backOff(nowNanos);
        return Result.FAILED;
    }

    private Result createAnswered(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Written written) {
            return appendSucceeded(written.version(), nowNanos);
        }
        if (answer instanceof StoreAnswer.Conflict) {
            pendingAppend.hadConflict = true;
        }
        boolean noEffect =
                answer instanceof StoreAnswer.Failed failed
                        && failed.reason() != StoreFailure.NO_ANSWER;
        if (noEffect) {
            backOff(nowNanos);
            return Result.FAILED;
        }
        pendingAppend.needsVerification = true;
        read();
        return Result.NONE;
    }

    private Result verificationAnswered(StoreAnswer answer, long nowNanos) {
        switch (answer) {
            case StoreAnswer.Found found -> {
                Either<SegmentCodec.DecodeError, Segment> segment =
                        SegmentCodec.decode(found.object().value());
                boolean own =
                        segment.isRight()
                                && segment.get().writeId().equals(pendingAppend.segment.writeId());
                return own ? appendSucceeded(found.object().version(), nowNanos) : appendLost();
            }
            case StoreAnswer.Absent absent -> {
                if (pendingAppend.hadConflict) {
                    // The key existed and was deleted since, so a later owner has passed this
                    // sequence.
                    return appendLost();
                }
                // The unanswered write may still take effect, so the same segment is written again.
                pendingAppend.needsVerification = false;
                backOff(nowNanos);
                return Result.NONE;
            }
            default -> {
                backOff(nowNanos);
                return Result.FAILED;
            }
        }
    }

    /**
     * Returns whether the log must be listed before an append, so that the append can be trusted.
     */
    boolean needsListing(long nowNanos) {
        return nowNanos - confirmedNanos > appendTrustNanos() / 2;
    }

    private long appendTrustNanos() {
        return context.settings.appendTrustMillis() * IdempotencySettings.NANOS_PER_MILLI;
    }

    private Result appendLost() {
        pendingAppend = null;
        failures = 0;
        return Result.LOST;
    }

    /**
     * Completes a successful append. If it completes long after the last confirmed append, a later
     * owner may have created and deleted a segment with the same key, so the append is not trusted.
     * Deletions wait longer than this limit.
     */
    private Result appendSucceeded(long version, long nowNanos) {
        PendingAppend completed = pendingAppend;
        pendingAppend = null;
        failures = 0;
        if (nowNanos - confirmedNanos > appendTrustNanos()) {
            return Result.UNTRUSTED;
        }
        lastSequence = completed.sequence;
        if (completed.segment.baseSequence() > base) {
            base = completed.segment.baseSequence();
            checkpointEndSequence = lastSequence;
        }
        confirmedNanos = completed.startNanos;
        segmentsBySequence.put(lastSequence, new KnownSegment(version, nowNanos));
        return Result.APPENDED;
    }

    private void create(long nowNanos) {
        lastWriteWasDeletion = false;
        nextWriteNanos = nowNanos + context.settings.writeIntervalNanos();
        pendingAppend.needsVerification = false;
        pendingAppend.call =
                context.callStore(
                        partition,
                        new StoreRequest.Create(
                                id.segmentKey(pendingAppend.sequence), pendingAppend.text));
    }

    private void read() {
        pendingAppend.call =
                context.callStore(
                        partition, new StoreRequest.Read(id.segmentKey(pendingAppend.sequence)));
    }

    private void backOff(long nowNanos) {
        retryNanos = nowNanos + context.backoffNanos(failures);
        failures++;
    }

    /** Result of an object API answer. */
    enum Result {
        /** The call is not settled yet, or needs no reaction. */
        NONE,
        /** The log was listed; see {@link #contents()}. */
        LISTED,
        /** The append succeeded. */
        APPENDED,
        /** Another instance owns the log. */
        LOST,
        /** The append succeeded, but too late to be trusted: another instance may own the log. */
        UNTRUSTED,
        /** The call failed or the log could not be read; the call is repeated after a back-off. */
        FAILED
    }

    /** Object version of a segment, and the time at which this instance learned of it. */
    private record KnownSegment(long version, long learnedNanos) {}

    /** An append from its first attempt until its result is known. */
    private static final class PendingAppend {
        final long sequence;
        final Segment segment;
        final String text;
        final long startNanos;
        long call;

        /** The result of the write is unknown; a read of the segment has to determine it. */
        boolean needsVerification;

        /** A write found that the key exists. */
        boolean hadConflict;

        PendingAppend(long sequence, Segment segment, long startNanos) {
            this.sequence = sequence;
            this.segment = segment;
            this.text = SegmentCodec.encode(segment);
            this.startNanos = startNanos;
        }
    }
}
