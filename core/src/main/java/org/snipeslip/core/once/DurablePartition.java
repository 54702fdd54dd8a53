package org.snipeslip.core.once;

import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.Verdict;
import org.snipeslip.core.store.StoreAnswer;

/**
 * A partition whose records are kept in a log in the object API. Safety depends on the conditional
 * append alone: a claim is granted after its record has taken effect. The lease only tells whether
 * a key that is not in the table provably has no earlier grant.
 *
 * <p>A full table, a full queue, or an object API that fails, refuse a new key: as not run within
 * the lease, else with unknown outcome.
 */
final class DurablePartition implements Partition {
    private final PartitionId id;
    private final Scope scope;
    private final PartitionLog log;
    private final ClaimTable table;
    private final WaitingClaims claims;
    private final Duplicates duplicates;
    private final UnwrittenOutcomes unwritten;
    private final Wake wake;

    private State state = State.IDLE;
    private boolean failing;
    private boolean asked;
    private long lastAskNanos;
    private long seenLast = -1;
    private long seenNanos;
    private long waitUntilNanos;
    private Checkpoint checkpoint;

    DurablePartition(PartitionId id, Scope scope, long nowNanos) {
        this.id = id;
        this.scope = scope;
        this.log = new PartitionLog(id, scope, this, nowNanos);
        this.table = new ClaimTable(scope.settings);
        this.claims = new WaitingClaims(scope);
        this.duplicates = new Duplicates(scope, table, claims);
        this.unwritten = new UnwrittenOutcomes(table, scope.settings);
        this.wake = new Wake(scope, id.timerKey());
        this.waitUntilNanos = nowNanos;
    }

    @Override
    public void ask(Ask ask, long nowNanos) {
        asked = true;
        lastAskNanos = nowNanos;
        switch (state) {
            case OWNED -> decide(ask, nowNanos);
            case IDLE, LISTING, TAKING -> prepare(ask, nowNanos);
            case WAITING -> scope.reply(ask, Verdict.UNAVAILABLE_UNKNOWN);
            default -> scope.reply(ask, Verdict.NOT_OWNER);
        }
    }

    @Override
    public void outcome(Grantee from, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        claims.giveUp(outcome.keyDigest(), from);
        if (table.end(from, outcome, nowNanos)) {
            unwritten.add(outcome.keyDigest(), nowNanos);
        }
    }

    @Override
    public void handover(InstanceId from, ClaimMessage.OwnershipHandover handover, long nowNanos) {
        if (state == State.WAITING) {
            waitUntilNanos = nowNanos;
        }
    }

    @Override
    public void answered(long call, StoreAnswer answer, long nowNanos) {
        switch (log.answered(call, answer, nowNanos)) {
            case LISTED -> listed(nowNanos);
            case APPENDED -> appended(nowNanos);
            case LOST -> stepDown();
            case STALE -> {
                claims.stepDown();
                relist(nowNanos);
            }
            case FAILED -> failed(nowNanos);
            default -> {
                // Not settled yet.
            }
        }
    }

    @Override
    public void timerFired(long nowNanos) {
        wake.fired();
        run(nowNanos);
    }

    @Override
    public void run(long nowNanos) {
        wake.begin();
        log.run(nowNanos);
        table.prune(nowNanos);
        if (state == State.OWNED) {
            claims.refuseBefore(nowNanos - patienceNanos(), unavailable(nowNanos));
            write(nowNanos);
        } else if (!log.isBusy()) {
            take(nowNanos);
        }
        setWake(nowNanos);
        wake.arm(nowNanos);
    }

    @Override
    public boolean isHeld() {
        return state == State.OWNED || state == State.TAKING || state == State.HANDING_OVER;
    }

    private void decide(Ask ask, long nowNanos) {
        if (duplicates.settle(ask)) {
            return;
        }
        if (failing || claims.isFull() || !table.hasRoomFor(claims.size())) {
            scope.reply(ask, unavailable(nowNanos));
        } else {
            claims.queue(ask);
        }
    }

    /** Takes a claim while this instance is not the owner but may become it. */
    private void prepare(Ask ask, long nowNanos) {
        if (duplicates.replay(ask)) {
            return;
        }
        if (!isWanted(nowNanos)) {
            scope.reply(ask, Verdict.NOT_OWNER);
        } else if (failing || claims.isFull()) {
            scope.reply(ask, Verdict.UNAVAILABLE_UNKNOWN);
        } else if (!duplicates.isWaiting(ask)) {
            claims.queue(ask);
        }
    }

    /** What a key that is in neither table nor queue can be told. */
    private Verdict unavailable(long nowNanos) {
        boolean leased =
                state == State.OWNED
                        && nowNanos - log.confirmedNanos() < scope.settings.leaseNanos();
        return leased ? Verdict.UNAVAILABLE_NOT_RUN : Verdict.UNAVAILABLE_UNKNOWN;
    }

    /** Half the asker's time-out, so that the answer arrives before it. */
    private long patienceNanos() {
        return scope.settings.askTimeoutMillis() * OnceSettings.NANOS_PER_MILLI / 2;
    }

    private boolean isFirst() {
        return !scope.isStopping() && scope.self.equals(scope.ranking.first(id));
    }

    /** Partitions of bound groups are taken and renewed only while they are used. */
    private boolean isWanted(long nowNanos) {
        return isFirst() && (!id.group().isBound() || isUsed(nowNanos));
    }

    private boolean isUsed(long nowNanos) {
        return asked && nowNanos - lastAskNanos < scope.settings.retentionNanos();
    }

    private void take(long nowNanos) {
        if (!isWanted(nowNanos)) {
            stepDown();
        } else if (nowNanos - waitUntilNanos >= 0) {
            relist(nowNanos);
        }
    }

    private void listed(long nowNanos) {
        failing = false;
        Replay replay = log.replay();
        if (replay.last() != seenLast) {
            seenLast = replay.last();
            seenNanos = nowNanos;
        }
        waitUntilNanos = seenNanos + scope.settings.takeoverNanos();
        if (!isWanted(nowNanos)) {
            log.takeReplay();
            stepDown();
        } else if (!log.mayWrite(nowNanos)) {
            state = State.IDLE;
            waitUntilNanos = log.nextWriteNanos();
        } else if (isFree(replay.lastSegment()) || nowNanos - waitUntilNanos >= 0) {
            state = State.TAKING;
            log.adopt(nowNanos);
            log.append(Segment.Kind.TAKEOVER, List.of(), log.base(), nowNanos);
        } else {
            state = State.WAITING;
            log.takeReplay();
            table.clear();
            unwritten.clear();
            claims.refuseAll(Verdict.UNAVAILABLE_UNKNOWN);
        }
    }

    /** Whether no other process can hold a lease on a log that ends with this segment. */
    private boolean isFree(Segment lastSegment) {
        return lastSegment == null
                || lastSegment.kind() == Segment.Kind.HANDOVER
                || lastSegment.writer().isProcess(scope.self, scope.incarnation);
    }

    private void appended(long nowNanos) {
        failing = false;
        switch (state) {
            case TAKING -> {
                state = State.OWNED;
                unwritten.replaceTable(log.takeReplay(), nowNanos);
                checkpoint = null;
                claims.takeQueued().forEach(ask -> decide(ask, nowNanos));
            }
            case HANDING_OVER -> {
                stepDown();
                waitUntilNanos = nowNanos;
                tellNextOwner();
            }
            default -> grantCovered(nowNanos);
        }
    }

    /** Reads the log again; table and outcomes are kept until the takeover replaces them. */
    private void relist(long nowNanos) {
        state = State.LISTING;
        log.list(nowNanos);
    }

    private void grantCovered(long nowNanos) {
        if (checkpoint != null && checkpoint.isComplete()) {
            checkpoint = null;
        }
        for (Ask ask : claims.takeCovered()) {
            ClaimRecord record = ClaimRecord.granted(ask);
            if (claims.isAbandoned(ask)) {
                table.put(record.ended(ClaimMessage.End.NOT_RUN, record.answer()), nowNanos);
                unwritten.add(ask.digest(), nowNanos);
            } else {
                table.put(record, nowNanos);
                scope.reply(ask, Verdict.GRANTED);
            }
        }
        claims.clearAbandoned();
    }

    private void tellNextOwner() {
        InstanceId next = scope.ranking.first(id);
        if (next != null && !next.equals(scope.self)) {
            scope.send(
                    next,
                    new ClaimMessage.OwnershipHandover(
                            id.group().value(), id.number(), log.nextSequence(), 0, 1, List.of()));
        }
    }

    private void failed(long nowNanos) {
        failing = true;
        claims.refuseAll(unavailable(nowNanos));
        if (state == State.LISTING) {
            state = State.IDLE;
            waitUntilNanos = log.retryNanos();
        }
    }

    private void stepDown() {
        claims.stepDown();
        table.clear();
        unwritten.clear();
        checkpoint = null;
        state = State.IDLE;
    }

    private void write(long nowNanos) {
        if (log.isBusy() || !log.mayWrite(nowNanos)) {
            return;
        }
        if (log.isStale(nowNanos)) {
            relist(nowNanos);
            return;
        }
        boolean leave = !isFirst();
        if (leave) {
            claims.takeQueued().forEach(ask -> scope.reply(ask, Verdict.NOT_OWNER));
        }
        if (!leave && log.isDeletionUrgent(nowNanos)) {
            log.deleteOldest(nowNanos);
        } else if (leave || isAppendDue(nowNanos)) {
            append(leave, nowNanos);
        } else {
            log.deleteOldest(nowNanos);
        }
    }

    private boolean isAppendDue(long nowNanos) {
        return !claims.isQueueEmpty()
                || checkpoint != null
                || log.segmentsSinceCheckpoint() >= scope.settings.checkpointSegments()
                || !unwritten.isEmpty() && nowNanos - unwritten.flushAtNanos() >= 0
                || renews(nowNanos) && nowNanos - renewAtNanos() >= 0;
    }

    private boolean renews(long nowNanos) {
        return !id.group().isBound() || isUsed(nowNanos);
    }

    private long renewAtNanos() {
        return log.confirmedNanos() + scope.settings.renewMillis() * OnceSettings.NANOS_PER_MILLI;
    }

    private void append(boolean leave, long nowNanos) {
        Batch batch = new Batch(scope.settings.maxSegmentBytes());
        unwritten.fill(batch);
        claims.cover(batch);
        boolean handover = leave && unwritten.isEmpty();
        long base = log.base();
        if (!leave) {
            base = repeatRecords(batch);
        }
        if (handover) {
            state = State.HANDING_OVER;
        }
        Segment.Kind kind = handover ? Segment.Kind.HANDOVER : Segment.Kind.APPEND;
        log.append(kind, batch.records(), base, nowNanos);
    }

    /** Continues or begins a checkpoint; returns the base of the segment being built. */
    private long repeatRecords(Batch batch) {
        if (checkpoint == null
                && log.segmentsSinceCheckpoint() >= scope.settings.checkpointSegments()) {
            checkpoint = new Checkpoint(log.nextSequence(), table);
        }
        if (checkpoint == null) {
            return log.base();
        }
        checkpoint.fill(batch, table);
        return checkpoint.isComplete() ? checkpoint.start() : log.base();
    }

    private void setWake(long nowNanos) {
        log.wakeAt(wake);
        if (state == State.OWNED) {
            claims.wakeAt(wake, patienceNanos());
            if (!log.isBusy()) {
                wakeForWrite(nowNanos);
            }
        } else if (!log.isBusy() && isWanted(nowNanos)) {
            wake.at(waitUntilNanos);
        }
    }

    private void wakeForWrite(long nowNanos) {
        boolean now = !isFirst() || isAppendDue(nowNanos) || log.canDelete(nowNanos);
        if (now) {
            wake.at(log.nextWriteNanos());
        }
        if (!unwritten.isEmpty()) {
            wake.at(Math.max(unwritten.flushAtNanos(), log.nextWriteNanos()));
        }
        if (renews(nowNanos)) {
            wake.at(Math.max(renewAtNanos(), log.nextWriteNanos()));
        }
    }

    /** Where this instance stands with the partition. */
    private enum State {
        /** Not the owner. */
        IDLE,
        /** Reads the log. */
        LISTING,
        /** Waits for the lease of the last writer to end. */
        WAITING,
        /** Appends the takeover. */
        TAKING,
        /** The owner. */
        OWNED,
        /** Appends the handover; grants and promises nothing more. */
        HANDING_OVER
    }
}
