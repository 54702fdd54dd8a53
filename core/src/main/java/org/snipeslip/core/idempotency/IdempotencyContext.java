package org.snipeslip.core.idempotency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/**
 * State shared by the parts of one engine: identity, settings, owner ranking, and the outbox for
 * actions. The outbox belongs to the event that is being handled.
 */
final class IdempotencyContext {
    final InstanceId self;
    final long incarnation;
    final IdempotencySettings settings;
    final OwnerRanking ranking = new OwnerRanking();
    final RandomGenerator random;

    private final Map<Long, Partition> partitionByCall = new HashMap<>();
    private final Deque<ClaimMessage> loopback = new ArrayDeque<>();
    private Outbox outbox;
    private boolean stopping;
    private long lastCallNumber;
    private long lastWriteNumber;
    private boolean readAcquired;
    private long lastReadNanos;

    IdempotencyContext(
            InstanceId self,
            long incarnation,
            IdempotencySettings settings,
            RandomGenerator random) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.random = random;
    }

    void setOutbox(Outbox current) {
        outbox = current;
    }

    Outbox outbox() {
        return outbox;
    }

    /** Excludes this instance from ownership of any partition. */
    void startStopping() {
        stopping = true;
        ranking.exclude(self);
    }

    boolean isStopping() {
        return stopping;
    }

    long callStore(Partition partition, StoreRequest request) {
        lastCallNumber++;
        partitionByCall.put(lastCallNumber, partition);
        outbox.add(
                new Action.CallStore(
                        new StoreCallId(EngineName.IDEMPOTENCY, lastCallNumber), request));
        return lastCallNumber;
    }

    /** Returns the partition that made an object API call, or null if the call is unknown. */
    Partition removeCall(long call) {
        return partitionByCall.remove(call);
    }

    Segment.WriteId nextWriteId() {
        lastWriteNumber++;
        return new Segment.WriteId(self, incarnation, lastWriteNumber);
    }

    void setTimer(String key, long delayNanos) {
        outbox.add(new Action.SetTimer(new TimerId(EngineName.IDEMPOTENCY, key), delayNanos));
    }

    /** Sends a message. The engine handles a message to its own instance before it returns. */
    void send(InstanceId to, ClaimMessage message) {
        if (to.equals(self)) {
            loopback.add(message);
            return;
        }
        MemberUpdate member = ranking.member(to);
        if (member != null) {
            outbox.add(new Action.SendPeerMessage(to, member.address(), message));
        }
    }

    /** Returns the next message to this instance, or null. */
    ClaimMessage pollLoopback() {
        return loopback.poll();
    }

    void reply(ReceivedClaim claim, ClaimMessage.Verdict verdict) {
        reply(claim, verdict, RecordableAnswer.NONE);
    }

    void reply(ReceivedClaim claim, ClaimMessage.Verdict verdict, RecordableAnswer answer) {
        ClaimId claimId = claim.claimId();
        send(
                claimId.instance(),
                new ClaimMessage.ClaimReply(
                        claimId.number(), claimId.incarnation(), verdict, answer));
    }

    /** Acquires a read of an ownership object; returns false if the rate limit allows none now. */
    boolean acquireRead(long nowNanos) {
        if (readAcquired && nowNanos - lastReadNanos < settings.readIntervalNanos()) {
            return false;
        }
        readAcquired = true;
        lastReadNanos = nowNanos;
        return true;
    }

    long nextReadNanos() {
        return lastReadNanos + settings.readIntervalNanos();
    }

    /** Returns an exponential back-off with full jitter, so that instances do not retry in step. */
    long backoffNanos(int failures) {
        long ceilingMillis = settings.retryMillis() << Math.min(failures, 10);
        long maxMillis = Math.min(settings.retryMaxMillis(), ceilingMillis);
        return (1 + random.nextLong(maxMillis)) * IdempotencySettings.NANOS_PER_MILLI;
    }
}
