package org.snipeslip.core.call;

import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.admission.FlowKey;
import org.snipeslip.core.admission.QueueDelay;
import org.snipeslip.core.admission.Waiting;
import org.snipeslip.core.admission.WaitingQueue;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.load.ServiceLoad;

/** The waiting calls of one service and the refusals that follow. Guarded by the shard's lock. */
final class ShardQueue {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time between two looks at waiting calls when no other event wakes the shard. */
    private static final long SWEEP_NANOS = 5 * NANOS_PER_MILLI;

    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    private final WaitingQueue<CallState> queue;
    private final QueueDelay delay;
    private final ServiceLoad service;
    private final RandomGenerator random;
    private long nextSweepNanos = ShardTimer.NEVER;

    ShardQueue(CallSettings settings, ServiceLoad service, RandomGenerator random) {
        this.service = service;
        this.queue = new WaitingQueue<>(settings.queueLimit());
        this.delay =
                new QueueDelay(
                        settings.queueTargetMillis() * NANOS_PER_MILLI,
                        settings.queueIntervalMillis() * NANOS_PER_MILLI);
        this.random = random;
    }

    boolean isEmpty() {
        return queue.size() == 0;
    }

    int size() {
        return queue.size();
    }

    long nextSweepNanos() {
        return isEmpty() ? ShardTimer.NEVER : nextSweepNanos;
    }

    /**
     * Adds a call unless it would wait too long or has no room.
     *
     * @return the call to refuse, which may be another one that made room, or null
     */
    Dropped add(CallState call, long nowNanos) {
        CallClass callClass = call.route.callClass();
        FlowKey key = new FlowKey(callClass, call.head.organisation(), call.homeRegions);
        if (callClass == CallClass.BATCH
                && nowNanos + delay.expectedWaitNanos(queue.size()) > call.deadlineNanos) {
            return new Dropped(call, reason(key));
        }
        Waiting<CallState> waiting = new Waiting<>(call, key, nowNanos, call.deadlineNanos);
        Waiting<CallState> victim = queue.victim(waiting);
        if (victim == waiting) {
            return new Dropped(call, reason(key));
        }
        Dropped dropped = null;
        if (victim != null) {
            dropped = new Dropped(victim.value(), reason(victim.flow()));
            remove(victim.value());
        }
        if (queue.size() == 0) {
            nextSweepNanos = nowNanos + SWEEP_NANOS;
            delay.paceFrom(nowNanos);
        }
        // Batch calls always wait somewhere; only interactive ones make the queue a standing one.
        if (queue.ahead(CallClass.INTERACTIVE) == 0 && callClass == CallClass.INTERACTIVE) {
            delay.becameNonEmpty(nowNanos);
        }
        queue.add(waiting, call.weight);
        call.waiting = waiting;
        return dropped;
    }

    void remove(CallState call) {
        if (call.waiting != null) {
            queue.remove(call.waiting);
            call.waiting = null;
        }
    }

    /** Takes out the calls whose deadline passed or that waited for too long. */
    List<Dropped> removeExpired(long nowNanos) {
        List<Waiting<CallState>> expired =
                queue.select(
                        waiting ->
                                waiting.deadlineNanos() <= nowNanos || isLate(waiting, nowNanos));
        List<Dropped> dropped =
                expired.stream().map(waiting -> dropExpired(waiting, nowNanos)).toList();
        expired.forEach(waiting -> remove(waiting.value()));
        nextSweepNanos = isEmpty() ? ShardTimer.NEVER : nowNanos + SWEEP_NANOS;
        return dropped;
    }

    void beginRound() {
        queue.beginRound();
    }

    CallState head() {
        Waiting<CallState> head = queue.head();
        return head == null ? null : head.value();
    }

    boolean isExpired(CallState call, long nowNanos) {
        return call.deadlineNanos <= nowNanos || isLate(call.waiting, nowNanos);
    }

    /** Blocks the line of a call for this round, because no server has room for it. */
    void block(CallState call) {
        queue.block(call.waiting);
    }

    void take(CallState call, long nowNanos) {
        queue.take(call.waiting);
        call.waiting = null;
        delay.taken(call.route.callClass(), nowNanos);
    }

    /** Random, so that refused callers do not come back at the same time. */
    long retryAfterMillis() {
        long wait = delay.expectedWaitNanos(queue.size()) / NANOS_PER_MILLI;
        long least = Math.max(MIN_RETRY_AFTER_MILLIS, wait);
        return least + random.nextLong(least);
    }

    private Dropped dropExpired(Waiting<CallState> waiting, long nowNanos) {
        boolean past = waiting.deadlineNanos() <= nowNanos;
        RefusalReason reason = past ? RefusalReason.DEADLINE_EXCEEDED : reason(waiting.flow());
        return new Dropped(waiting.value(), reason);
    }

    private boolean isLate(Waiting<CallState> waiting, long nowNanos) {
        long waited = nowNanos - waiting.enqueuedNanos();
        return waited > delay.maxWaitNanos(waiting.flow().callClass(), service, nowNanos);
    }

    private RefusalReason reason(FlowKey key) {
        return queue.isOverShare(key)
                ? RefusalReason.ORGANISATION_OVER_SHARE
                : RefusalReason.OVERLOADED;
    }

    /**
     * A call that left the queue unsent.
     *
     * @param call the call
     * @param reason why
     */
    record Dropped(CallState call, RefusalReason reason) {}
}
