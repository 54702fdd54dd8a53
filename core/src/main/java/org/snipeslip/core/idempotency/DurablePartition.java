package org.snipeslip.core.idempotency;

import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.Verdict;
import org.snipeslip.core.store.StoreAnswer;

/**
 * A partition whose records are stored in a log in the object API. At-most-once execution depends
 * only on the conditional append: a claim is granted after its record was appended. The lease is
 * used only to decide whether a key without a record provably has no earlier grant.
 *
 * <p>A new key is refused while the table or the queue is full or the object API fails. Within the
 * lease it is refused as not run, otherwise with an unknown outcome.
 */
final class DurablePartition implements Partition {
    private final PartitionId id;
    private final IdempotencyContext context;
    private final PartitionLog log;
    private final ClaimTable table;
    private final WaitingClaims waitingClaims;
    private final DuplicateClaims duplicates;
    private final UnwrittenOutcomes unwrittenOutcomes;
    private final PartitionTimer timer;

    private State state = State.IDLE;
    private boolean objectApiFailing;
    private boolean claimSeen;
    private long lastClaimNanos;
    private long lastSeenSequence = -1;
    private long lastSequenceChangeNanos;
    private long nextTakeoverNanos;
    private Checkpoint checkpoint;

    DurablePartition(PartitionId id, IdempotencyContext context, long nowNanos) {
        this.id = id;
        this.context = context;
        this.log = new PartitionLog(id, context, this, nowNanos);
        this.table = new ClaimTable(context.settings);
        this.waitingClaims = new WaitingClaims(context);
        this.duplicates = new DuplicateClaims(context, table, waitingClaims);
        this.unwrittenOutcomes = new UnwrittenOutcomes(table, context.settings);
        this.timer = new PartitionTimer(context, id.timerKey());
        this.nextTakeoverNanos = nowNanos;
    }

    @Override
    public void claimReceived(ReceivedClaim claim, long nowNanos) {
        claimSeen = true;
        lastClaimNanos = nowNanos;
        switch (state) {
            case OWNED -> decide(claim, nowNanos);
            case IDLE, LISTING, TAKING_OVER -> queueBeforeTakeover(claim, nowNanos);
            case WAITING -> context.reply(claim, Verdict.UNAVAILABLE_UNKNOWN);
            default -> context.reply(claim, Verdict.NOT_OWNER);
        }
    }

    @Override
    public void claimEnded(ClaimId claimId, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        waitingClaims.cancel(outcome.keyDigest(), claimId);
        if (table.end(claimId, outcome, nowNanos)) {
            unwrittenOutcomes.add(outcome.keyDigest(), nowNanos);
        }
    }

    @Override
    public void handoverReceived(
            InstanceId sender, ClaimMessage.OwnershipHandover handover, long nowNanos) {
        if (state == State.WAITING) {
            nextTakeoverNanos = nowNanos;
        }
    }

    @Override
    public void storeAnswered(long call, StoreAnswer answer, long nowNanos) {
        switch (log.answered(call, answer, nowNanos)) {
            case LISTED -> logListed(nowNanos);
            case APPENDED -> appended(nowNanos);
            case LOST -> stepDown();
            case UNTRUSTED -> {
                waitingClaims.refuseAndClear();
                relist(nowNanos);
            }
            case FAILED -> objectApiFailed(nowNanos);
            default -> {
                // The call is not settled yet.
            }
        }
    }

    @Override
    public void timerFired(long nowNanos) {
        timer.fired();
        run(nowNanos);
    }

    @Override
    public void run(long nowNanos) {
        timer.reset();
        log.run(nowNanos);
        table.prune(nowNanos);
        if (state == State.OWNED) {
            waitingClaims.refuseArrivedBefore(
                    nowNanos - queueTimeoutNanos(), unavailableVerdict(nowNanos));
            write(nowNanos);
        } else if (!log.isBusy()) {
            takeOver(nowNanos);
        }
        setTimer(nowNanos);
        timer.arm(nowNanos);
    }

    @Override
    public boolean isHeld() {
        return state == State.OWNED || state == State.TAKING_OVER || state == State.HANDING_OVER;
    }

    private void decide(ReceivedClaim claim, long nowNanos) {
        if (duplicates.replyUnlessGrantable(claim)) {
            return;
        }
        if (objectApiFailing || waitingClaims.isFull() || !table.hasRoomFor(waitingClaims.size())) {
            context.reply(claim, unavailableVerdict(nowNanos));
        } else {
            waitingClaims.queue(claim);
        }
    }

    /** Handles a claim while this instance is not the owner but may become the owner. */
    private void queueBeforeTakeover(ReceivedClaim claim, long nowNanos) {
        if (duplicates.replyIfRecorded(claim)) {
            return;
        }
        if (!shouldOwn(nowNanos)) {
            context.reply(claim, Verdict.NOT_OWNER);
        } else if (objectApiFailing || waitingClaims.isFull()) {
            context.reply(claim, Verdict.UNAVAILABLE_UNKNOWN);
        } else if (!duplicates.replyIfWaiting(claim)) {
            waitingClaims.queue(claim);
        }
    }

    /**
     * Returns the verdict for a key that has no record and no waiting claim and cannot be granted
     * now.
     */
    private Verdict unavailableVerdict(long nowNanos) {
        boolean leased =
                state == State.OWNED
                        && nowNanos - log.confirmedNanos() < context.settings.leaseNanos();
        return leased ? Verdict.UNAVAILABLE_NOT_RUN : Verdict.UNAVAILABLE_UNKNOWN;
    }

    /** Half of the requester's time-out, so that the reply arrives before it ends. */
    private long queueTimeoutNanos() {
        return context.settings.claimTimeoutMillis() * IdempotencySettings.NANOS_PER_MILLI / 2;
    }

    private boolean isPreferredOwner() {
        return !context.isStopping() && context.self.equals(context.ranking.preferredOwner(id));
    }

    /** Partitions of bound groups are taken over and renewed only while they are in use. */
    private boolean shouldOwn(long nowNanos) {
        return isPreferredOwner() && (!id.group().isBound() || isRecentlyUsed(nowNanos));
    }

    private boolean isRecentlyUsed(long nowNanos) {
        return claimSeen && nowNanos - lastClaimNanos < context.settings.retentionNanos();
    }

    private void takeOver(long nowNanos) {
        if (!shouldOwn(nowNanos)) {
            stepDown();
        } else if (nowNanos - nextTakeoverNanos >= 0) {
            relist(nowNanos);
        }
    }

    private void logListed(long nowNanos) {
        objectApiFailing = false;
        LogContents contents = log.contents();
        if (contents.lastSequence() != lastSeenSequence) {
            lastSeenSequence = contents.lastSequence();
            lastSequenceChangeNanos = nowNanos;
        }
        nextTakeoverNanos = lastSequenceChangeNanos + context.settings.takeoverNanos();
        if (!shouldOwn(nowNanos)) {
            log.removeContents();
            stepDown();
        } else if (!log.mayWrite(nowNanos)) {
            state = State.IDLE;
            nextTakeoverNanos = log.nextWriteNanos();
        } else if (isUnleased(contents.lastSegment()) || nowNanos - nextTakeoverNanos >= 0) {
            state = State.TAKING_OVER;
            log.startTakeover(nowNanos);
            log.append(Segment.Kind.TAKEOVER, List.of(), log.base(), nowNanos);
        } else {
            state = State.WAITING;
            log.removeContents();
            table.clear();
            unwrittenOutcomes.clear();
            waitingClaims.refuseAll(Verdict.UNAVAILABLE_UNKNOWN);
        }
    }

    /** Returns whether no other process can hold a lease on a log that ends with this segment. */
    private boolean isUnleased(Segment lastSegment) {
        return lastSegment == null
                || lastSegment.kind() == Segment.Kind.HANDOVER
                || lastSegment.writeId().isFrom(context.self, context.incarnation);
    }

    private void appended(long nowNanos) {
        objectApiFailing = false;
        switch (state) {
            case TAKING_OVER -> {
                state = State.OWNED;
                unwrittenOutcomes.replaceTable(log.removeContents(), nowNanos);
                checkpoint = null;
                waitingClaims.removeQueued().forEach(claim -> decide(claim, nowNanos));
            }
            case HANDING_OVER -> {
                stepDown();
                nextTakeoverNanos = nowNanos;
                notifyNextOwner();
            }
            default -> grantInFlight(nowNanos);
        }
    }

    /** Lists the log again. The table and the unwritten outcomes are kept until the takeover. */
    private void relist(long nowNanos) {
        state = State.LISTING;
        log.list(nowNanos);
    }

    private void grantInFlight(long nowNanos) {
        if (checkpoint != null && checkpoint.isComplete()) {
            checkpoint = null;
        }
        for (ReceivedClaim claim : waitingClaims.removeInFlight()) {
            ClaimRecord record = ClaimRecord.granted(claim);
            if (waitingClaims.isAbandoned(claim)) {
                table.put(record.ended(ClaimMessage.ClaimState.NOT_RUN, record.answer()), nowNanos);
                unwrittenOutcomes.add(claim.digest(), nowNanos);
            } else {
                table.put(record, nowNanos);
                context.reply(claim, Verdict.GRANTED);
            }
        }
        waitingClaims.clearAbandoned();
    }

    private void notifyNextOwner() {
        InstanceId nextOwner = context.ranking.preferredOwner(id);
        if (nextOwner != null && !nextOwner.equals(context.self)) {
            context.send(
                    nextOwner,
                    new ClaimMessage.OwnershipHandover(
                            id.group().value(), id.number(), log.nextSequence(), 0, 1, List.of()));
        }
    }

    private void objectApiFailed(long nowNanos) {
        objectApiFailing = true;
        waitingClaims.refuseAll(unavailableVerdict(nowNanos));
        if (state == State.LISTING) {
            state = State.IDLE;
            nextTakeoverNanos = log.retryNanos();
        }
    }

    private void stepDown() {
        waitingClaims.refuseAndClear();
        table.clear();
        unwrittenOutcomes.clear();
        checkpoint = null;
        state = State.IDLE;
    }

    private void write(long nowNanos) {
        if (log.isBusy() || !log.mayWrite(nowNanos)) {
            return;
        }
        if (log.needsListing(nowNanos)) {
            relist(nowNanos);
            return;
        }
        boolean handOver = !isPreferredOwner();
        if (handOver) {
            waitingClaims.removeQueued().forEach(claim -> context.reply(claim, Verdict.NOT_OWNER));
        }
        if (!handOver && log.isDeletionUrgent(nowNanos)) {
            log.deleteOldest(nowNanos);
        } else if (handOver || isAppendDue(nowNanos)) {
            append(handOver, nowNanos);
        } else {
            log.deleteOldest(nowNanos);
        }
    }

    private boolean isAppendDue(long nowNanos) {
        return !waitingClaims.isQueueEmpty()
                || checkpoint != null
                || log.segmentsSinceCheckpoint() >= context.settings.checkpointSegments()
                || !unwrittenOutcomes.isEmpty() && nowNanos - unwrittenOutcomes.flushAtNanos() >= 0
                || renewsLease(nowNanos) && nowNanos - renewAtNanos() >= 0;
    }

    private boolean renewsLease(long nowNanos) {
        return !id.group().isBound() || isRecentlyUsed(nowNanos);
    }

    private long renewAtNanos() {
        return log.confirmedNanos()
                + context.settings.renewMillis() * IdempotencySettings.NANOS_PER_MILLI;
    }

    private void append(boolean handOver, long nowNanos) {
        SegmentBatch batch = new SegmentBatch(context.settings.maxSegmentBytes());
        unwrittenOutcomes.moveTo(batch);
        waitingClaims.moveToInFlight(batch);
        boolean isHandover = handOver && unwrittenOutcomes.isEmpty();
        long baseSequence = log.base();
        if (!handOver) {
            baseSequence = fillCheckpoint(batch);
        }
        if (isHandover) {
            state = State.HANDING_OVER;
        }
        Segment.Kind kind = isHandover ? Segment.Kind.HANDOVER : Segment.Kind.APPEND;
        log.append(kind, batch.records(), baseSequence, nowNanos);
    }

    /** Continues or starts a checkpoint; returns the base sequence number of the new segment. */
    private long fillCheckpoint(SegmentBatch batch) {
        if (checkpoint == null
                && log.segmentsSinceCheckpoint() >= context.settings.checkpointSegments()) {
            checkpoint = new Checkpoint(log.nextSequence(), table);
        }
        if (checkpoint == null) {
            return log.base();
        }
        checkpoint.fill(batch, table);
        return checkpoint.isComplete() ? checkpoint.startSequence() : log.base();
    }

    private void setTimer(long nowNanos) {
        log.scheduleRetry(timer);
        if (state == State.OWNED) {
            waitingClaims.scheduleExpiry(timer, queueTimeoutNanos());
            if (!log.isBusy()) {
                scheduleNextWrite(nowNanos);
            }
        } else if (!log.isBusy() && shouldOwn(nowNanos)) {
            timer.schedule(nextTakeoverNanos);
        }
    }

    private void scheduleNextWrite(long nowNanos) {
        boolean writeDue = !isPreferredOwner() || isAppendDue(nowNanos) || log.canDelete(nowNanos);
        if (writeDue) {
            timer.schedule(log.nextWriteNanos());
        }
        if (!unwrittenOutcomes.isEmpty()) {
            timer.schedule(Math.max(unwrittenOutcomes.flushAtNanos(), log.nextWriteNanos()));
        }
        if (renewsLease(nowNanos)) {
            timer.schedule(Math.max(renewAtNanos(), log.nextWriteNanos()));
        }
    }

    /** State of this instance with respect to the partition. */
    private enum State {
        /** Not the owner. */
        IDLE,
        /** Lists the log. */
        LISTING,
        /** Waits until the lease of the last writer expires. */
        WAITING,
        /** Appends the takeover segment. */
        TAKING_OVER,
        /** Owner of the partition. */
        OWNED,
        /** Appends the handover segment; grants no more claims. */
        HANDING_OVER
    }
}
