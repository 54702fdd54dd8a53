package org.snipeslip.core.idempotency;

import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.Verdict;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.store.StoreAnswer;

/**
 * A partition whose records must not leave their home regions and are therefore kept only in the
 * memory of its owner. The object API stores only the ownership object. A claim is granted after a
 * read of the ownership object that began after the claim arrived and that still names this owner
 * and epoch.
 *
 * <p>An owner that received no handover does not know the earlier records. It is in recovery: for
 * the retention time it answers keys that have no record with an unknown outcome.
 */
final class InMemoryPartition implements Partition {
    private final PartitionId id;
    private final IdempotencyContext context;
    private final OwnershipObject ownershipObject;
    private final ClaimTable table;
    private final WaitingClaims waitingClaims;
    private final DuplicateClaims duplicates;
    private final HandoverReceiver handoverReceiver;
    private final PartitionTimer timer;

    private State state = State.IDLE;
    private Ownership ownership;
    private Map<String, ClaimRecord> recordsToAdopt = Map.of();
    private boolean recordsMissing;
    private long recoveryEndNanos;
    private long ownershipWriteStartNanos;
    private long confirmedNanos;
    private boolean objectApiFailing;
    private boolean claimSeen;
    private long lastClaimNanos;
    private Ownership awaitedHandover;
    private long handoverDeadlineNanos;
    private HandoverSender handoverSender;
    private long handoverEndNanos;
    private long nextHandoverRoundNanos;

    InMemoryPartition(PartitionId id, IdempotencyContext context, long nowNanos) {
        this.id = id;
        this.context = context;
        this.ownershipObject = new OwnershipObject(id, context, this, nowNanos);
        this.table = new ClaimTable(context.settings);
        this.waitingClaims = new WaitingClaims(context);
        this.duplicates = new DuplicateClaims(context, table, waitingClaims);
        this.handoverReceiver = new HandoverReceiver(context.settings);
        this.timer = new PartitionTimer(context, id.timerKey());
    }

    @Override
    public void claimReceived(ReceivedClaim claim, long nowNanos) {
        claimSeen = true;
        lastClaimNanos = nowNanos;
        if (state == State.OWNED) {
            decide(claim, nowNanos);
        } else if (state == State.HANDING_OVER || awaitedHandover != null || !shouldOwn(nowNanos)) {
            context.reply(claim, Verdict.NOT_OWNER);
        } else if (ownershipObject.isBackingOff(nowNanos) || waitingClaims.isFull()) {
            context.reply(claim, Verdict.UNAVAILABLE_UNKNOWN);
        } else if (!duplicates.replyIfWaiting(claim)) {
            waitingClaims.queue(claim);
        }
    }

    @Override
    public void claimEnded(ClaimId claimId, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        waitingClaims.cancel(outcome.keyDigest(), claimId);
        if (state == State.OWNED) {
            table.end(claimId, outcome, nowNanos);
        }
    }

    @Override
    public void handoverReceived(
            InstanceId sender, ClaimMessage.OwnershipHandover handover, long nowNanos) {
        if (state == State.OWNED || state == State.HANDING_OVER) {
            return;
        }
        handoverReceiver.add(sender, handover);
        if (awaitedHandover != null && handoverReceiver.isCompleteFor(awaitedHandover)) {
            handoverDeadlineNanos = nowNanos;
        }
    }

    @Override
    public void storeAnswered(long call, StoreAnswer answer, long nowNanos) {
        switch (ownershipObject.answered(call, answer, nowNanos)) {
            case READ -> ownershipRead(nowNanos);
            case WRITTEN -> takeoverDone(nowNanos);
            case CHANGED -> stepDown();
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
        ownershipObject.run(nowNanos);
        table.prune(nowNanos);
        switch (state) {
            case OWNED -> runOwned(nowNanos);
            case HANDING_OVER -> runHandover(nowNanos);
            case IDLE -> runIdle(nowNanos);
            default -> {
                // A write of the ownership object is in flight.
            }
        }
        setTimer(nowNanos);
        timer.arm(nowNanos);
    }

    @Override
    public boolean isHeld() {
        return state != State.IDLE;
    }

    private void decide(ReceivedClaim claim, long nowNanos) {
        if (duplicates.replyUnlessGrantable(claim)) {
            return;
        }
        if (table.get(claim.digest()) == null && isRecovering(nowNanos)) {
            context.reply(claim, Verdict.OUTCOME_UNKNOWN);
        } else if (objectApiFailing && ownershipObject.isBackingOff(nowNanos)
                || waitingClaims.isFull()
                || !table.hasRoomFor(waitingClaims.size())) {
            context.reply(claim, unavailableVerdict(nowNanos));
        } else {
            waitingClaims.queue(claim);
        }
    }

    private boolean isRecovering(long nowNanos) {
        return recordsMissing && nowNanos - recoveryEndNanos < 0;
    }

    /**
     * Returns the verdict for a new key that cannot be granted now. Within the lease, the call
     * provably never ran, because a later owner grants nothing during its recovery, which is longer
     * than the lease.
     */
    private Verdict unavailableVerdict(long nowNanos) {
        boolean leased =
                state == State.OWNED && nowNanos - confirmedNanos < context.settings.leaseNanos();
        return leased ? Verdict.UNAVAILABLE_NOT_RUN : Verdict.UNAVAILABLE_UNKNOWN;
    }

    /** Half of the requester's time-out, so that the reply arrives before it ends. */
    private long queueTimeoutNanos() {
        return context.settings.claimTimeoutMillis() * IdempotencySettings.NANOS_PER_MILLI / 2;
    }

    private boolean isPreferredOwner() {
        return !context.isStopping() && context.self.equals(context.ranking.preferredOwner(id));
    }

    private boolean shouldOwn(long nowNanos) {
        boolean recentlyUsed =
                claimSeen && nowNanos - lastClaimNanos < context.settings.retentionNanos();
        return isPreferredOwner() && (recentlyUsed || !handoverReceiver.isEmpty());
    }

    private void runIdle(long nowNanos) {
        if (!shouldOwn(nowNanos)) {
            waitingClaims.refuseAndClear();
            awaitedHandover = null;
        } else if (ownershipObject.canCall(nowNanos)
                && (awaitedHandover == null || nowNanos - handoverDeadlineNanos >= 0)) {
            ownershipObject.read(nowNanos);
        }
    }

    private void runOwned(long nowNanos) {
        waitingClaims.refuseArrivedBefore(
                nowNanos - queueTimeoutNanos(), unavailableVerdict(nowNanos));
        if (!isPreferredOwner()) {
            startHandover(nowNanos);
        } else if (!waitingClaims.isQueueEmpty()
                && ownershipObject.canCall(nowNanos)
                && ownershipObject.read(nowNanos)) {
            waitingClaims.moveAllToInFlight();
        }
    }

    private void ownershipRead(long nowNanos) {
        switch (state) {
            case OWNED -> confirmOwnership(nowNanos);
            case HANDING_OVER -> {
                if (!ownershipObject.current().contains(ownership)) {
                    stepDown();
                }
            }
            case IDLE -> takeOver(nowNanos);
            default -> {
                // In TAKING_OVER, reads only verify the write.
            }
        }
    }

    private void confirmOwnership(long nowNanos) {
        if (!ownershipObject.current().contains(ownership)) {
            stepDown();
            return;
        }
        objectApiFailing = false;
        confirmedNanos = ownershipObject.readStartNanos();
        for (ReceivedClaim claim : waitingClaims.removeInFlight()) {
            if (!waitingClaims.isAbandoned(claim)) {
                table.put(ClaimRecord.granted(claim), nowNanos);
                context.reply(claim, Verdict.GRANTED);
            }
        }
        waitingClaims.clearAbandoned();
    }

    private void takeOver(long nowNanos) {
        if (!shouldOwn(nowNanos)) {
            return;
        }
        if (ownershipObject.current().isEmpty()) {
            writeOwnership(1, false, Map.of(), nowNanos);
            return;
        }
        Ownership previous = ownershipObject.current().get();
        boolean complete = handoverReceiver.isCompleteFor(previous);
        if (!complete
                && canReceiveHandoverFrom(previous)
                && !isHandoverOverdue(previous, nowNanos)) {
            waitingClaims.refuseAll(Verdict.NOT_OWNER);
            return;
        }
        writeOwnership(
                previous.epoch() + 1,
                !complete,
                complete ? handoverReceiver.records() : Map.of(),
                nowNanos);
    }

    /** Returns whether the previous owner is another instance that may still send its records. */
    private boolean canReceiveHandoverFrom(Ownership previous) {
        MemberUpdate member = context.ranking.member(previous.owner());
        return !previous.owner().equals(context.self)
                && member != null
                && (member.status() == MemberStatus.ALIVE
                        || member.status() == MemberStatus.LEAVING);
    }

    /** Returns whether the wait for a handover has timed out; the first call starts the wait. */
    private boolean isHandoverOverdue(Ownership previous, long nowNanos) {
        if (!previous.equals(awaitedHandover)) {
            awaitedHandover = previous;
            handoverDeadlineNanos =
                    nowNanos
                            + context.settings.handoverTimeoutMillis()
                                    * IdempotencySettings.NANOS_PER_MILLI;
        }
        return nowNanos - handoverDeadlineNanos >= 0;
    }

    private void writeOwnership(
            long epoch, boolean withoutRecords, Map<String, ClaimRecord> records, long nowNanos) {
        ownership = new Ownership(context.self, context.incarnation, epoch);
        recordsMissing = withoutRecords;
        recordsToAdopt = records;
        awaitedHandover = null;
        ownershipWriteStartNanos = nowNanos;
        state = State.TAKING_OVER;
        ownershipObject.write(ownership, nowNanos);
    }

    private void takeoverDone(long nowNanos) {
        state = State.OWNED;
        objectApiFailing = false;
        confirmedNanos = ownershipWriteStartNanos;
        recoveryEndNanos = nowNanos + context.settings.retentionNanos();
        table.replaceAll(recordsToAdopt, nowNanos);
        recordsToAdopt = Map.of();
        handoverReceiver.clear();
        List<ReceivedClaim> queued = waitingClaims.removeQueued();
        queued.forEach(claim -> decide(claim, nowNanos));
    }

    private void objectApiFailed(long nowNanos) {
        objectApiFailing = true;
        waitingClaims.refuseAll(unavailableVerdict(nowNanos));
        waitingClaims.removeInFlight();
        waitingClaims.clearAbandoned();
    }

    private void stepDown() {
        waitingClaims.refuseAndClear();
        table.clear();
        handoverSender = null;
        awaitedHandover = null;
        state = State.IDLE;
    }

    /**
     * Starts to send the records to the next owner. An owner in recovery sends nothing, because its
     * records are incomplete.
     */
    private void startHandover(long nowNanos) {
        waitingClaims.refuseAndClear();
        InstanceId nextOwner = context.ranking.preferredOwner(id);
        if (isRecovering(nowNanos) || nextOwner == null || nextOwner.equals(context.self)) {
            stepDown();
            return;
        }
        state = State.HANDING_OVER;
        handoverSender = new HandoverSender(id, ownership.epoch(), table, context, nowNanos);
        nextHandoverRoundNanos = nowNanos;
        handoverEndNanos =
                nowNanos
                        + context.settings.handoverTimeoutMillis()
                                * IdempotencySettings.NANOS_PER_MILLI;
        runHandover(nowNanos);
    }

    private void runHandover(long nowNanos) {
        if (nowNanos - handoverEndNanos >= 0) {
            stepDown();
            return;
        }
        InstanceId nextOwner = context.ranking.preferredOwner(id);
        if (nowNanos - nextHandoverRoundNanos >= 0) {
            nextHandoverRoundNanos =
                    nowNanos + context.settings.retryMillis() * IdempotencySettings.NANOS_PER_MILLI;
            if (nextOwner != null && !nextOwner.equals(context.self)) {
                handoverSender.sendRound(context, nextOwner);
            }
            if (ownershipObject.canCall(nowNanos)) {
                ownershipObject.read(nowNanos);
            }
        }
    }

    private void setTimer(long nowNanos) {
        switch (state) {
            case OWNED -> {
                waitingClaims.scheduleExpiry(timer, queueTimeoutNanos());
                ownershipObject.scheduleRetry(timer, !waitingClaims.isQueueEmpty(), nowNanos);
            }
            case HANDING_OVER -> timer.schedule(nextHandoverRoundNanos);
            case IDLE -> {
                if (awaitedHandover != null) {
                    timer.schedule(handoverDeadlineNanos);
                } else {
                    ownershipObject.scheduleRetry(timer, shouldOwn(nowNanos), nowNanos);
                }
            }
            default -> ownershipObject.scheduleRetry(timer, false, nowNanos);
        }
    }

    /** State of this instance with respect to the partition. */
    private enum State {
        /** Not the owner. If it should be, it reads the ownership object in order to take over. */
        IDLE,
        /** Writes the ownership object to take over the partition. */
        TAKING_OVER,
        /** Owner of the partition. */
        OWNED,
        /** Sends a snapshot of its records to the next owner; grants no more claims. */
        HANDING_OVER
    }
}
