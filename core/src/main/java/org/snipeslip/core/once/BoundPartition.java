package org.snipeslip.core.once;

import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.Verdict;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.store.StoreAnswer;

/**
 * A partition whose records must stay in the home regions, so only in the memory of its owner. The
 * object API holds the ownership alone. A claim is granted after a read of it that began after the
 * claim arrived and still names this owner and epoch. An owner that got no handover does not know
 * the earlier records, and answers unknown keys with unknown outcome for the retention time.
 */
final class BoundPartition implements Partition {
    private final PartitionId id;
    private final Scope scope;
    private final OwnershipObject object;
    private final ClaimTable table;
    private final WaitingClaims claims;
    private final Duplicates duplicates;
    private final HandoverInbox inbox;
    private final Wake wake;

    private State state = State.IDLE;
    private Ownership own;
    private Map<String, ClaimRecord> inherited = Map.of();
    private boolean recovers;
    private long recoversUntilNanos;
    private long writeStartNanos;
    private long confirmedNanos;
    private boolean failing;
    private boolean asked;
    private long lastAskNanos;
    private Ownership awaited;
    private long awaitUntilNanos;
    private HandoverOffer offer;
    private long offerUntilNanos;
    private long nextOfferNanos;

    BoundPartition(PartitionId id, Scope scope, long nowNanos) {
        this.id = id;
        this.scope = scope;
        this.object = new OwnershipObject(id, scope, this, nowNanos);
        this.table = new ClaimTable(scope.settings);
        this.claims = new WaitingClaims(scope);
        this.duplicates = new Duplicates(scope, table, claims);
        this.inbox = new HandoverInbox(scope.settings);
        this.wake = new Wake(scope, id.timerKey());
    }

    @Override
    public void ask(Ask ask, long nowNanos) {
        asked = true;
        lastAskNanos = nowNanos;
        if (state == State.OWNED) {
            decide(ask, nowNanos);
        } else if (state == State.HANDING_OVER || awaited != null || !isWanted(nowNanos)) {
            scope.reply(ask, Verdict.NOT_OWNER);
        } else if (object.isBackingOff(nowNanos) || claims.isFull()) {
            scope.reply(ask, Verdict.UNAVAILABLE_UNKNOWN);
        } else if (!duplicates.isWaiting(ask)) {
            claims.queue(ask);
        }
    }

    @Override
    public void outcome(Grantee from, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        claims.giveUp(outcome.keyDigest(), from);
        if (state == State.OWNED) {
            table.end(from, outcome, nowNanos);
        }
    }

    @Override
    public void handover(InstanceId from, ClaimMessage.OwnershipHandover handover, long nowNanos) {
        if (state == State.OWNED || state == State.HANDING_OVER) {
            return;
        }
        inbox.add(from, handover);
        if (awaited != null && inbox.isCompleteFor(awaited)) {
            awaitUntilNanos = nowNanos;
        }
    }

    @Override
    public void answered(long call, StoreAnswer answer, long nowNanos) {
        switch (object.answered(call, answer, nowNanos)) {
            case READ -> wasRead(nowNanos);
            case WRITTEN -> taken(nowNanos);
            case CHANGED -> stepDown();
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
        object.run(nowNanos);
        table.prune(nowNanos);
        switch (state) {
            case OWNED -> runOwned(nowNanos);
            case HANDING_OVER -> runHandover(nowNanos);
            case IDLE -> runIdle(nowNanos);
            default -> {
                // A write is in flight.
            }
        }
        setWake(nowNanos);
        wake.arm(nowNanos);
    }

    @Override
    public boolean isHeld() {
        return state != State.IDLE;
    }

    private void decide(Ask ask, long nowNanos) {
        if (duplicates.settle(ask)) {
            return;
        }
        if (table.get(ask.digest()) == null && isRecovering(nowNanos)) {
            scope.reply(ask, Verdict.OUTCOME_UNKNOWN);
        } else if (failing && object.isBackingOff(nowNanos)
                || claims.isFull()
                || !table.hasRoomFor(claims.size())) {
            scope.reply(ask, unavailable(nowNanos));
        } else {
            claims.queue(ask);
        }
    }

    private boolean isRecovering(long nowNanos) {
        return recovers && nowNanos - recoversUntilNanos < 0;
    }

    /** A later owner grants nothing during its recovery, which is longer than the lease. */
    private Verdict unavailable(long nowNanos) {
        boolean leased =
                state == State.OWNED && nowNanos - confirmedNanos < scope.settings.leaseNanos();
        return leased ? Verdict.UNAVAILABLE_NOT_RUN : Verdict.UNAVAILABLE_UNKNOWN;
    }

    private long patienceNanos() {
        return scope.settings.askTimeoutMillis() * OnceSettings.NANOS_PER_MILLI / 2;
    }

    private boolean isFirst() {
        return !scope.isStopping() && scope.self.equals(scope.ranking.first(id));
    }

    private boolean isWanted(long nowNanos) {
        boolean used = asked && nowNanos - lastAskNanos < scope.settings.retentionNanos();
        return isFirst() && (used || !inbox.isEmpty());
    }

    private void runIdle(long nowNanos) {
        if (!isWanted(nowNanos)) {
            claims.stepDown();
            awaited = null;
        } else if (object.mayTry(nowNanos)
                && (awaited == null || nowNanos - awaitUntilNanos >= 0)) {
            object.read(nowNanos);
        }
    }

    private void runOwned(long nowNanos) {
        claims.refuseBefore(nowNanos - patienceNanos(), unavailable(nowNanos));
        if (!isFirst()) {
            leave(nowNanos);
        } else if (!claims.isQueueEmpty() && object.mayTry(nowNanos) && object.read(nowNanos)) {
            claims.coverAll();
        }
    }

    private void wasRead(long nowNanos) {
        switch (state) {
            case OWNED -> confirm(nowNanos);
            case HANDING_OVER -> {
                if (!object.current().contains(own)) {
                    stepDown();
                }
            }
            case IDLE -> take(nowNanos);
            default -> {
                // No plain read is made during a write.
            }
        }
    }

    private void confirm(long nowNanos) {
        if (!object.current().contains(own)) {
            stepDown();
            return;
        }
        failing = false;
        confirmedNanos = object.readStartNanos();
        for (Ask ask : claims.takeCovered()) {
            if (!claims.isAbandoned(ask)) {
                table.put(ClaimRecord.granted(ask), nowNanos);
                scope.reply(ask, Verdict.GRANTED);
            }
        }
        claims.clearAbandoned();
    }

    private void take(long nowNanos) {
        if (!isWanted(nowNanos)) {
            return;
        }
        if (object.current().isEmpty()) {
            write(1, false, Map.of(), nowNanos);
            return;
        }
        Ownership holder = object.current().get();
        boolean complete = inbox.isCompleteFor(holder);
        if (!complete && mayOffer(holder) && !isAwaitOver(holder, nowNanos)) {
            claims.refuseAll(Verdict.NOT_OWNER);
            return;
        }
        write(holder.epoch() + 1, !complete, complete ? inbox.records() : Map.of(), nowNanos);
    }

    /** Whether the holder may still hand its records over. */
    private boolean mayOffer(Ownership holder) {
        MemberUpdate member = scope.ranking.member(holder.owner());
        return !holder.owner().equals(scope.self)
                && member != null
                && (member.status() == MemberStatus.ALIVE
                        || member.status() == MemberStatus.LEAVING);
    }

    private boolean isAwaitOver(Ownership holder, long nowNanos) {
        if (!holder.equals(awaited)) {
            awaited = holder;
            awaitUntilNanos =
                    nowNanos + scope.settings.handoverMillis() * OnceSettings.NANOS_PER_MILLI;
        }
        return nowNanos - awaitUntilNanos >= 0;
    }

    private void write(
            long epoch, boolean unplanned, Map<String, ClaimRecord> records, long nowNanos) {
        own = new Ownership(scope.self, scope.incarnation, epoch);
        recovers = unplanned;
        inherited = records;
        awaited = null;
        writeStartNanos = nowNanos;
        state = State.WRITING;
        object.write(own, nowNanos);
    }

    private void taken(long nowNanos) {
        state = State.OWNED;
        failing = false;
        confirmedNanos = writeStartNanos;
        recoversUntilNanos = nowNanos + scope.settings.retentionNanos();
        table.replaceBy(inherited, nowNanos);
        inherited = Map.of();
        inbox.clear();
        List<Ask> queued = claims.takeQueued();
        queued.forEach(ask -> decide(ask, nowNanos));
    }

    private void failed(long nowNanos) {
        failing = true;
        claims.refuseAll(unavailable(nowNanos));
        claims.takeCovered();
        claims.clearAbandoned();
    }

    private void stepDown() {
        claims.stepDown();
        table.clear();
        offer = null;
        awaited = null;
        state = State.IDLE;
    }

    /**
     * Offers the records to the next owner; an owner that is recovering has no complete records.
     */
    private void leave(long nowNanos) {
        claims.stepDown();
        InstanceId next = scope.ranking.first(id);
        if (isRecovering(nowNanos) || next == null || next.equals(scope.self)) {
            stepDown();
            return;
        }
        state = State.HANDING_OVER;
        offer = new HandoverOffer(id, own.epoch(), table, scope, nowNanos);
        nextOfferNanos = nowNanos;
        offerUntilNanos = nowNanos + scope.settings.handoverMillis() * OnceSettings.NANOS_PER_MILLI;
        runHandover(nowNanos);
    }

    private void runHandover(long nowNanos) {
        if (nowNanos - offerUntilNanos >= 0) {
            stepDown();
            return;
        }
        InstanceId next = scope.ranking.first(id);
        if (nowNanos - nextOfferNanos >= 0) {
            nextOfferNanos = nowNanos + scope.settings.retryMillis() * OnceSettings.NANOS_PER_MILLI;
            if (next != null && !next.equals(scope.self)) {
                offer.sendRound(scope, next);
            }
            if (object.mayTry(nowNanos)) {
                object.read(nowNanos);
            }
        }
    }

    private void setWake(long nowNanos) {
        switch (state) {
            case OWNED -> {
                claims.wakeAt(wake, patienceNanos());
                object.wakeAt(wake, !claims.isQueueEmpty(), nowNanos);
            }
            case HANDING_OVER -> wake.at(nextOfferNanos);
            case IDLE -> {
                if (awaited != null) {
                    wake.at(awaitUntilNanos);
                } else {
                    object.wakeAt(wake, isWanted(nowNanos), nowNanos);
                }
            }
            default -> object.wakeAt(wake, false, nowNanos);
        }
    }

    /** Where this instance stands with the partition. */
    private enum State {
        /** Not the owner; may read the ownership object to become it. */
        IDLE,
        /** Writes the ownership object. */
        WRITING,
        /** The owner. */
        OWNED,
        /** Offers its frozen records to the next owner; grants and promises nothing more. */
        HANDING_OVER
    }
}
