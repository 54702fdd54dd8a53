package org.snipeslip.core.once;

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
 * What the parts of one engine share: identity, settings, ranking, and the way to the shell. The
 * outbox is that of the event being handled.
 */
final class Scope {
    final InstanceId self;
    final long incarnation;
    final OnceSettings settings;
    final OwnerRanking ranking = new OwnerRanking();
    final RandomGenerator random;

    private final Map<Long, Partition> partitionByCall = new HashMap<>();
    private final Deque<ClaimMessage> loopback = new ArrayDeque<>();
    private Outbox outbox;
    private boolean stopping;
    private long lastCall;
    private long lastWrite;
    private boolean hasRead;
    private long lastReadNanos;

    Scope(InstanceId self, long incarnation, OnceSettings settings, RandomGenerator random) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.random = random;
    }

    void use(Outbox current) {
        outbox = current;
    }

    Outbox outbox() {
        return outbox;
    }

    void stop() {
        stopping = true;
        ranking.exclude(self);
    }

    boolean isStopping() {
        return stopping;
    }

    long call(Partition partition, StoreRequest request) {
        lastCall++;
        partitionByCall.put(lastCall, partition);
        outbox.add(new Action.CallStore(new StoreCallId(EngineName.ONCE, lastCall), request));
        return lastCall;
    }

    Partition callEnded(long call) {
        return partitionByCall.remove(call);
    }

    Segment.Writer nextWriter() {
        lastWrite++;
        return new Segment.Writer(self, incarnation, lastWrite);
    }

    void timer(String key, long delayNanos) {
        outbox.add(new Action.SetTimer(new TimerId(EngineName.ONCE, key), delayNanos));
    }

    /** Sends a message; a message to itself is handled before the engine returns. */
    void send(InstanceId to, ClaimMessage message) {
        if (to.equals(self)) {
            loopback.add(message);
            return;
        }
        MemberUpdate member = ranking.member(to);
        if (member != null) {
            outbox.add(new Action.SendPeer(to, member.address(), message));
        }
    }

    ClaimMessage pollLoopback() {
        return loopback.poll();
    }

    void reply(Ask ask, ClaimMessage.Verdict verdict) {
        reply(ask, verdict, RecordableAnswer.NONE);
    }

    void reply(Ask ask, ClaimMessage.Verdict verdict, RecordableAnswer answer) {
        Grantee to = ask.from();
        send(
                to.instance(),
                new ClaimMessage.ClaimReply(to.claim(), to.incarnation(), verdict, answer));
    }

    /** Takes one of the instance's reads of ownership objects; false if none is left now. */
    boolean takeRead(long nowNanos) {
        if (hasRead && nowNanos - lastReadNanos < settings.readIntervalNanos()) {
            return false;
        }
        hasRead = true;
        lastReadNanos = nowNanos;
        return true;
    }

    long nextReadNanos() {
        return lastReadNanos + settings.readIntervalNanos();
    }

    /** Full-jitter exponential back-off, so that instances do not retry in step. */
    long backoffNanos(int failures) {
        long cap = settings.retryMillis() << Math.min(failures, 10);
        long limitMillis = Math.min(settings.retryMaxMillis(), cap);
        return (1 + random.nextLong(limitMillis)) * OnceSettings.NANOS_PER_MILLI;
    }
}
