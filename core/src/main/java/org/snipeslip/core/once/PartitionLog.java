package org.snipeslip.core.once;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * The log of one partition in the object API. A segment is created only if its key is absent, so of
 * two writers one loses. At most one append is in flight; it is repeated unchanged until it is
 * known to have taken effect or to be lost. The shell must end every object API call with an
 * answer.
 *
 * <p>Segments below the base are deleted one at a time within the write rate. They number at most
 * the checkpoint interval plus what the write rate allows in the deletion delay.
 */
final class PartitionLog {
    private final PartitionId id;
    private final Scope scope;
    private final Partition partition;
    private final TreeMap<Long, Known> segments = new TreeMap<>();

    private long last;
    private long base = 1;
    private long checkpointEnd;
    private long confirmedNanos;
    private long nextWriteNanos;
    private boolean lastWasDeletion;
    private Flight flight;
    private long listCall;
    private long listStartNanos;
    private Replay replay;
    private long deleteCall;
    private long deleting;
    private int failures;
    private long retryNanos;

    PartitionLog(PartitionId id, Scope scope, Partition partition, long nowNanos) {
        this.id = id;
        this.scope = scope;
        this.partition = partition;
        this.nextWriteNanos = nowNanos;
        this.retryNanos = nowNanos;
    }

    boolean isBusy() {
        return flight != null || listCall != 0;
    }

    boolean mayWrite(long nowNanos) {
        return flight == null && nowNanos - nextWriteNanos >= 0;
    }

    long nextWriteNanos() {
        return nextWriteNanos;
    }

    long retryNanos() {
        return retryNanos;
    }

    long nextSequence() {
        return last + 1;
    }

    /** Segments appended since the last checkpoint ended, or since the base before the first. */
    long segmentsSinceCheckpoint() {
        return last + 1 - Math.max(base, checkpointEnd);
    }

    long base() {
        return base;
    }

    /** Start of the last append that took effect, or of the list that a takeover is based on. */
    long confirmedNanos() {
        return confirmedNanos;
    }

    Replay replay() {
        return replay;
    }

    /** Returns what was listed and keeps it no longer. */
    Replay takeReplay() {
        Replay taken = replay;
        replay = null;
        return taken;
    }

    void list(long nowNanos) {
        listStartNanos = nowNanos;
        listCall = scope.call(partition, new StoreRequest.ListPrefix(id.logPrefix()));
    }

    /** Takes the log over as it was listed; the next append is the takeover. */
    void adopt(long nowNanos) {
        last = replay.last();
        base = replay.base();
        confirmedNanos = listStartNanos;
        segments.clear();
        replay.versions()
                .forEach((seq, version) -> segments.put(seq, new Known(version, nowNanos)));
    }

    void append(Segment.Kind kind, List<ClaimRecord> records, long newBase, long nowNanos) {
        Segment segment = new Segment(kind, scope.nextWriter(), newBase, records);
        flight = new Flight(last + 1, segment, nowNanos);
        create(nowNanos);
    }

    /** Repeats a write or read whose back-off has passed. */
    void run(long nowNanos) {
        if (flight == null || flight.call != 0 || nowNanos - retryNanos < 0) {
            return;
        }
        if (flight.readNext) {
            read();
        } else if (nowNanos - nextWriteNanos >= 0) {
            create(nowNanos);
        }
    }

    void wakeAt(Wake wake) {
        if (flight != null && flight.call == 0) {
            boolean byRate = !flight.readNext && nextWriteNanos - retryNanos > 0;
            wake.at(byRate ? nextWriteNanos : retryNanos);
        }
    }

    Step answered(long call, StoreAnswer answer, long nowNanos) {
        if (call == deleteCall) {
            deleteCall = 0;
            if (!(answer instanceof StoreAnswer.Failed)) {
                segments.remove(deleting);
            }
            return Step.NONE;
        }
        if (call == listCall) {
            listCall = 0;
            return listed(answer, nowNanos);
        }
        if (flight == null || call != flight.call) {
            return Step.NONE;
        }
        flight.call = 0;
        return flight.readNext ? wasRead(answer, nowNanos) : wasCreated(answer, nowNanos);
    }

    /** Deletes one segment that no reader needs, if there is one. */
    void deleteOldest(long nowNanos) {
        long delayNanos = scope.settings.deleteDelayMillis() * OnceSettings.NANOS_PER_MILLI;
        Map.Entry<Long, Known> oldest = oldestDeletable(nowNanos - delayNanos);
        if (oldest == null || deleteCall != 0) {
            return;
        }
        deleting = oldest.getKey();
        lastWasDeletion = true;
        nextWriteNanos = nowNanos + scope.settings.writeIntervalNanos();
        deleteCall =
                scope.call(
                        partition,
                        new StoreRequest.Delete(
                                id.segmentKey(deleting), oldest.getValue().version()));
    }

    /** Deletions take every second write once this many segments wait, so that the log ends. */
    boolean isDeletionUrgent(long nowNanos) {
        return !lastWasDeletion
                && segments.headMap(base).size() > scope.settings.checkpointSegments()
                && canDelete(nowNanos);
    }

    boolean canDelete(long nowNanos) {
        long delayNanos = scope.settings.deleteDelayMillis() * OnceSettings.NANOS_PER_MILLI;
        return deleteCall == 0 && oldestDeletable(nowNanos - delayNanos) != null;
    }

    private Map.Entry<Long, Known> oldestDeletable(long knownBeforeNanos) {
        Map.Entry<Long, Known> oldest = segments.firstEntry();
        boolean deletable =
                oldest != null
                        && oldest.getKey() < base
                        && oldest.getValue().knownNanos() - knownBeforeNanos <= 0;
        return deletable ? oldest : null;
    }

    private Step listed(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Listed listed) {
            Either<Replay.Fault, Replay> read = Replay.of(id, listed.objects());
            if (read.isRight()) {
                replay = read.get();
                failures = 0;
                return Step.LISTED;
            }
        }
        backOff(nowNanos);
        return Step.FAILED;
    }

    private Step wasCreated(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Written written) {
            return tookEffect(written.version(), nowNanos);
        }
        if (answer instanceof StoreAnswer.Conflict) {
            flight.conflicted = true;
        }
        boolean noEffect =
                answer instanceof StoreAnswer.Failed failed
                        && failed.reason() != StoreFailure.NO_ANSWER;
        if (noEffect) {
            backOff(nowNanos);
            return Step.FAILED;
        }
        flight.readNext = true;
        read();
        return Step.NONE;
    }

    private Step wasRead(StoreAnswer answer, long nowNanos) {
        switch (answer) {
            case StoreAnswer.Found found -> {
                Either<SegmentCodec.Fault, Segment> segment =
                        SegmentCodec.decode(found.object().value());
                boolean own =
                        segment.isRight() && segment.get().writer().equals(flight.segment.writer());
                return own ? tookEffect(found.object().version(), nowNanos) : lost();
            }
            case StoreAnswer.Absent absent -> {
                if (flight.conflicted) {
                    // The key was in use before and is deleted now: a later owner went past it.
                    return lost();
                }
                // The lost write may still arrive, so the same segment is written again.
                flight.readNext = false;
                backOff(nowNanos);
                return Step.NONE;
            }
            default -> {
                backOff(nowNanos);
                return Step.FAILED;
            }
        }
    }

    /** Whether the log must be listed again before an append, or the append may not be trusted. */
    boolean isStale(long nowNanos) {
        return nowNanos - confirmedNanos > trustNanos() / 2;
    }

    private long trustNanos() {
        return scope.settings.trustMillis() * OnceSettings.NANOS_PER_MILLI;
    }

    private Step lost() {
        flight = null;
        failures = 0;
        return Step.LOST;
    }

    /**
     * An append that ends long after the last confirmed one may have used a key that a later owner
     * used and deleted; deletion waits longer than this limit.
     */
    private Step tookEffect(long version, long nowNanos) {
        Flight done = flight;
        flight = null;
        failures = 0;
        if (nowNanos - confirmedNanos > trustNanos()) {
            return Step.STALE;
        }
        last = done.sequence;
        if (done.segment.base() > base) {
            base = done.segment.base();
            checkpointEnd = last;
        }
        confirmedNanos = done.startNanos;
        segments.put(last, new Known(version, nowNanos));
        return Step.APPENDED;
    }

    private void create(long nowNanos) {
        lastWasDeletion = false;
        nextWriteNanos = nowNanos + scope.settings.writeIntervalNanos();
        flight.readNext = false;
        flight.call =
                scope.call(
                        partition,
                        new StoreRequest.Create(id.segmentKey(flight.sequence), flight.text));
    }

    private void read() {
        flight.call = scope.call(partition, new StoreRequest.Read(id.segmentKey(flight.sequence)));
    }

    private void backOff(long nowNanos) {
        retryNanos = nowNanos + scope.backoffNanos(failures);
        failures++;
    }

    /** What an answer meant for the log. */
    enum Step {
        /** Nothing is decided yet. */
        NONE,
        /** The log was listed; see {@link #replay()}. */
        LISTED,
        /** The append took effect. */
        APPENDED,
        /** Another writer owns the log. */
        LOST,
        /** The append is in the log, but another writer may own it by now. */
        STALE,
        /** The object API does not answer as it should; the call is repeated later. */
        FAILED
    }

    private record Known(long version, long knownNanos) {}

    /** An append from its first attempt until it is settled. */
    private static final class Flight {
        final long sequence;
        final Segment segment;
        final String text;
        final long startNanos;
        long call;
        boolean readNext;
        boolean conflicted;

        Flight(long sequence, Segment segment, long startNanos) {
            this.sequence = sequence;
            this.segment = segment;
            this.text = SegmentCodec.encode(segment);
            this.startNanos = startNanos;
        }
    }
}
