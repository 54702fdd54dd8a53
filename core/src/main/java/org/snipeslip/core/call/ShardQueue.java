package org.snipeslip.core.call;

import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.admission.FlowKey;
import org.snipeslip.core.admission.QueueDelay;
import org.snipeslip.core.admission.Waiting;
import org.snipeslip.core.admission.WaitingQueue;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.load.ServiceLoad;

/** The waiting calls of one service, bounded in number and time. Guarded by the shard's lock. */
final class ShardQueue {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Interval of checks for expired calls when no other event wakes the shard. */
    private static final long SWEEP_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;

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
     * Adds a call, unless it would wait beyond its deadline or the queue is full and no other call
     * can be evicted.
     *
     * @return the call to refuse, which is either this one or an evicted one, or null
     */
    Dropped add(CallState call, long nowNanos) {
        CallClass callClass = call.route.callClass();
        FlowKey key = new FlowKey(callClass, call.rank, call.organisationId(), call.homeRegions);
        if (callClass == CallClass.BATCH
                && nowNanos + delay.expectedWaitNanos(queue.size()) > call.deadlineNanos) {
            return new Dropped(call, refusalReason(key));
        }
        Waiting<CallState> waiting = new Waiting<>(call, key, nowNanos, call.deadlineNanos);
        Waiting<CallState> evicted = queue.findEviction(waiting);
        if (evicted == waiting) {
            return new Dropped(call, refusalReason(key));
        }
        Dropped dropped = null;
        if (evicted != null) {
            dropped = new Dropped(evicted.value(), refusalReason(evicted.flow()));
            remove(evicted.value());
        }
        if (queue.size() == 0) {
            nextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
            delay.startMeasuringDepartures(nowNanos);
        }
        // Waiting batch calls are normal; only interactive ones make this a standing queue.
        if (queue.ahead(CallClass.INTERACTIVE) == 0 && callClass == CallClass.INTERACTIVE) {
            delay.becameNonEmpty(nowNanos);
        }
        queue.add(waiting, call.weight());
        call.queueEntry = waiting;
        return dropped;
    }

    void remove(CallState call) {
        if (call.queueEntry != null) {
            queue.remove(call.queueEntry);
            call.queueEntry = null;
        }
    }

    /** Removes and returns the calls whose deadline has passed or that waited too long. */
    List<Dropped> removeExpired(long nowNanos) {
        List<Waiting<CallState>> expired =
                queue.select(
                        waiting ->
                                waiting.deadlineNanos() <= nowNanos
                                        || exceedsMaxWait(waiting, nowNanos));
        List<Dropped> dropped =
                expired.stream().map(waiting -> toDropped(waiting, nowNanos)).toList();
        expired.forEach(waiting -> remove(waiting.value()));
        nextSweepNanos = isEmpty() ? ShardTimer.NEVER : nowNanos + SWEEP_INTERVAL_NANOS;
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
        return call.deadlineNanos <= nowNanos || exceedsMaxWait(call.queueEntry, nowNanos);
    }

    /** Skips the flow of a call for this round, because no server has room for the call. */
    void block(CallState call) {
        queue.block(call.queueEntry);
    }

    void dequeue(CallState call, long nowNanos) {
        queue.take(call.queueEntry);
        call.queueEntry = null;
        delay.recordDeparture(call.route.callClass(), nowNanos);
    }

    /** Returns a random delay, so that refused callers do not all return at the same time. */
    long retryAfterMillis() {
        long waitMillis = delay.expectedWaitNanos(queue.size()) / NANOS_PER_MILLI;
        long minMillis = Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
        return minMillis + random.nextLong(minMillis);
    }

    private Dropped toDropped(Waiting<CallState> waiting, long nowNanos) {
        boolean deadlinePassed = waiting.deadlineNanos() <= nowNanos;
        RefusalReason reason =
                deadlinePassed ? RefusalReason.DEADLINE_EXCEEDED : refusalReason(waiting.flow());
        return new Dropped(waiting.value(), reason);
    }

    private boolean exceedsMaxWait(Waiting<CallState> waiting, long nowNanos) {
        long waitedNanos = nowNanos - waiting.enqueuedNanos();
        return waitedNanos > delay.maxWaitNanos(waiting.flow().callClass(), service, nowNanos);
    }

    private RefusalReason refusalReason(FlowKey key) {
        return queue.isOverShare(key)
                ? RefusalReason.ORGANISATION_OVER_SHARE
                : RefusalReason.OVERLOADED;
    }

    /**
     * A call to refuse, which was not queued or left the queue unsent.
     *
     * @param reason why the call must be refused
     */
    record Dropped(CallState call, RefusalReason reason) {}
}
