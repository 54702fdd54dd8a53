package org.snipeslip.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.TimerId;

/**
 * Limits the object API calls of an instance, for all its engines together, with a token bucket, a
 * limit on calls in flight (open watches included), and an exponential back-off with full jitter.
 * After a failure, calls are sent one at a time, as trials, until one succeeds. The token bucket
 * then restarts almost empty, so that instances do not all call at once when the object API
 * recovers.
 *
 * <p>Calls above the limits wait in a queue of limited length. When the queue is full, the oldest
 * call that is not a watch fails with {@link StoreFailure#NOT_SENT}. Every method acquires the lock
 * of this object, which is last in the lock order.
 */
public final class StoreCallLimiter {
    /** Fires when waiting calls can be sent or refused. */
    public static final TimerId TIMER = new TimerId(EngineName.INSTANCE, "store-gate");

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Timer delay while the maximum number of calls is in flight. */
    private static final long FULL_RECHECK_NANOS = 100 * NANOS_PER_MILLI;

    private static final int MAX_DOUBLINGS = 20;

    private final StoreSettings settings;
    private final RandomGenerator random;
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private final Map<StoreCallId, Long> sentNanosByCall = new HashMap<>();
    private final List<Event.StoreAnswered> refusedCalls = new ArrayList<>();
    private double tokens;
    private long lastRefillNanos;
    private boolean refillStarted;
    private int failures;
    private long blockedUntilNanos;
    private long trialStartNanos;
    private StoreCallId trialCall;
    private long lastSuccessSentNanos = Long.MIN_VALUE;
    private long timerNanos;
    private boolean timerSet;

    /**
     * Creates a limiter with a full token bucket.
     *
     * @param settings limits on rate, calls in flight and waiting calls, and the back-off
     * @param random source of the jitter of the back-off
     */
    public StoreCallLimiter(StoreSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.tokens = settings.burst();
    }

    /**
     * Replaces the object API calls in a list of actions with the calls that may be sent now, which
     * can include calls that were waiting.
     *
     * @param actions actions of the engines; may be modified and returned
     * @param nowNanos current time
     * @return the actions for the I/O layer, and a timer if calls keep waiting
     */
    public synchronized List<Action> admitCalls(List<Action> actions, long nowNanos) {
        List<Action> passed = actions;
        if (actions.stream().anyMatch(Action.CallStore.class::isInstance)) {
            passed = new ArrayList<>(actions.size());
            for (Action action : actions) {
                if (action instanceof Action.CallStore call) {
                    enqueue(call, nowNanos);
                } else {
                    passed.add(action);
                }
            }
        }
        if (!queue.isEmpty() || !refusedCalls.isEmpty()) {
            sendWaiting(nowNanos, passed);
        }
        return passed;
    }

    /**
     * Records the answer to a call. Must be called before the engine handles the answer.
     *
     * @param answered the answer; ignored if the call is not in flight
     * @param nowNanos current time
     */
    public synchronized void answered(Event.StoreAnswered answered, long nowNanos) {
        Long sent = sentNanosByCall.remove(answered.call());
        if (sent == null) {
            return;
        }
        if (answered.call().equals(trialCall)) {
            trialCall = null;
        }
        refill(nowNanos);
        if (!isOutage(answered.answer())) {
            failures = 0;
            blockedUntilNanos = nowNanos;
            lastSuccessSentNanos = Math.max(lastSuccessSentNanos, sent);
        } else if (sent >= lastSuccessSentNanos && (failures == 0 || sent >= trialStartNanos)) {
            // Failures of calls sent before the last successful call are outdated and ignored.
            backOff(nowNanos);
        }
    }

    /**
     * Removes the calls that ended without being sent: calls that waited too long, were evicted
     * from a full queue, or were replaced. Must be called when the timer fires.
     *
     * @param nowNanos current time
     * @return their answers, in the order in which the calls ended
     */
    public synchronized List<Event.StoreAnswered> removeRefused(long nowNanos) {
        timerSet = false;
        long oldestNanos = nowNanos - settings.maxQueueMillis() * NANOS_PER_MILLI;
        Iterator<QueuedCall> iterator = queue.iterator();
        while (iterator.hasNext()) {
            QueuedCall queued = iterator.next();
            if (!queued.isWatch() && queued.queuedNanos < oldestNanos) {
                iterator.remove();
                refuse(queued);
            }
        }
        List<Event.StoreAnswered> answers = List.copyOf(refusedCalls);
        refusedCalls.clear();
        return answers;
    }

    /**
     * Returns how many calls wait to be sent.
     *
     * @return their number
     */
    public synchronized int waitingCalls() {
        return queue.size();
    }

    /**
     * Returns how many calls are in flight, open watches included.
     *
     * @return their number
     */
    public synchronized int callsInFlight() {
        return sentNanosByCall.size();
    }

    /**
     * Returns the number of failures since the last success.
     *
     * @return number of failures; 0 while the object API answers
     */
    public synchronized int consecutiveFailures() {
        return failures;
    }

    private void enqueue(Action.CallStore call, long nowNanos) {
        refuseReplacedWatch(call);
        if (queue.size() >= settings.queueLimit()) {
            QueuedCall oldest = null;
            for (QueuedCall queued : queue) {
                if (!queued.isWatch()) {
                    oldest = queued;
                    break;
                }
            }
            if (oldest == null) {
                oldest = queue.peek();
            }
            queue.remove(oldest);
            refuse(oldest);
        }
        queue.add(new QueuedCall(call, nowNanos));
    }

    /** Refuses a waiting watch of the same engine and key, because the new watch replaces it. */
    private void refuseReplacedWatch(Action.CallStore call) {
        if (call.request() instanceof StoreRequest.Watch watch) {
            for (QueuedCall queued : queue) {
                if (queued.call.request() instanceof StoreRequest.Watch older
                        && older.key().equals(watch.key())
                        && queued.call.call().owner() == call.call().owner()) {
                    queue.remove(queued);
                    refuse(queued);
                    return;
                }
            }
        }
    }

    private void refuse(QueuedCall queued) {
        refusedCalls.add(
                new Event.StoreAnswered(
                        queued.call.call(), new StoreAnswer.Failed(StoreFailure.NOT_SENT)));
    }

    private void sendWaiting(long nowNanos, List<Action> passed) {
        refill(nowNanos);
        while (!queue.isEmpty() && canSend(nowNanos)) {
            Action.CallStore call = removeNext();
            tokens -= 1;
            sentNanosByCall.put(call.call(), nowNanos);
            if (failures > 0) {
                trialCall = call.call();
                trialStartNanos = nowNanos;
            }
            passed.add(call);
        }
        setTimer(nowNanos, passed);
    }

    private boolean canSend(long nowNanos) {
        return tokens >= 1
                && sentNanosByCall.size() < settings.maxInFlight()
                && (failures == 0
                        || nowNanos >= blockedUntilNanos
                                && (trialCall == null || nowNanos >= trialEndNanos()));
    }

    /**
     * Removes the next call from the queue. During back-off a watch is sent with a wait of 0,
     * because a trial call must show immediately whether the object API answers.
     */
    private Action.CallStore removeNext() {
        Action.CallStore call = queue.remove().call;
        if (failures > 0 && call.request() instanceof StoreRequest.Watch w) {
            return new Action.CallStore(
                    call.call(), new StoreRequest.Watch(w.key(), w.knownVersion(), 0));
        }
        return call;
    }

    private void backOff(long nowNanos) {
        failures++;
        long ceilingMillis =
                Math.min(
                        settings.backOffMaxMillis(),
                        settings.backOffMinMillis() << Math.min(failures - 1, MAX_DOUBLINGS));
        blockedUntilNanos = nowNanos + random.nextLong(1 + ceilingMillis * NANOS_PER_MILLI);
        trialStartNanos = nowNanos;
        tokens = Math.min(tokens, 1);
    }

    private void setTimer(long nowNanos, List<Action> passed) {
        if (queue.isEmpty() && refusedCalls.isEmpty()) {
            return;
        }
        long atNanos =
                refusedCalls.isEmpty() ? nextSendNanos(nowNanos) : nowNanos + NANOS_PER_MILLI;
        if (!timerSet || atNanos < timerNanos) {
            timerSet = true;
            timerNanos = atNanos;
            passed.add(new Action.SetTimer(TIMER, Math.max(0, atNanos - nowNanos)));
        }
    }

    private long nextSendNanos(long nowNanos) {
        long tokenNanos =
                tokens >= 1
                        ? nowNanos
                        : nowNanos
                                + (long)
                                        Math.ceil(
                                                (1 - tokens)
                                                        * NANOS_PER_SECOND
                                                        / settings.callsPerSecond());
        long backOffEndNanos = failures == 0 ? nowNanos : blockedUntilNanos;
        long trialEndNanos = failures == 0 || trialCall == null ? nowNanos : trialEndNanos();
        long nextNanos = Math.max(tokenNanos, Math.max(backOffEndNanos, trialEndNanos));
        // With all calls in flight, only an answer allows the next call; the timer then merely
        // refuses calls that waited too long.
        boolean full = sentNanosByCall.size() >= settings.maxInFlight();
        return Math.max(nextNanos, nowNanos + (full ? FULL_RECHECK_NANOS : NANOS_PER_MILLI));
    }

    private long trialEndNanos() {
        return trialStartNanos + settings.trialTimeoutMillis() * NANOS_PER_MILLI;
    }

    private void refill(long nowNanos) {
        if (!refillStarted) {
            refillStarted = true;
            lastRefillNanos = nowNanos;
        }
        long elapsedNanos = Math.max(0, nowNanos - lastRefillNanos);
        lastRefillNanos += elapsedNanos;
        tokens =
                Math.min(
                        failures == 0 ? settings.burst() : 1,
                        tokens
                                + (double) elapsedNanos
                                        * settings.callsPerSecond()
                                        / NANOS_PER_SECOND);
    }

    private static boolean isOutage(StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed failed
                && failed.reason() != StoreFailure.TOO_LARGE;
    }

    /** A call that waits in the queue. */
    private record QueuedCall(Action.CallStore call, long queuedNanos) {
        boolean isWatch() {
            return call.request() instanceof StoreRequest.Watch;
        }
    }
}
