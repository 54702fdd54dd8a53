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
 * The object API budget of an instance, shared by its engines: a token bucket, a bound on calls in
 * flight that counts waiting watches, and one back-off with full jitter. After a failure, calls go
 * out one at a time until one succeeds, and the bucket restarts almost empty, so that instances do
 * not all call at once when the object API returns.
 *
 * <p>Calls over the budget wait in a bounded queue. At the bound the oldest call that is not a
 * watch ends with {@link StoreFailure#NOT_SENT}. Every method takes the lock of the gate, the last
 * in the lock order.
 */
public final class StoreGate {
    /** Wakes the gate when waiting calls may go on. */
    public static final TimerId TIMER = new TimerId(EngineName.INSTANCE, "store-gate");

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long FULL_WAKE_NANOS = 100 * NANOS_PER_MILLI;
    private static final int MAX_DOUBLINGS = 20;

    private final StoreSettings settings;
    private final RandomGenerator random;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Map<StoreCallId, Long> sentNanos = new HashMap<>();
    private final List<Event.StoreAnswered> refused = new ArrayList<>();
    private double tokens;
    private long filledNanos;
    private boolean started;
    private int failures;
    private long blockedUntilNanos;
    private long trialNanos;
    private StoreCallId trial;
    private long answeredSentNanos = Long.MIN_VALUE;
    private long wakeNanos;
    private boolean wakeSet;

    /**
     * Creates a gate with a full bucket.
     *
     * @param settings the budget
     * @param random spreads back-off in time
     */
    public StoreGate(StoreSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.tokens = settings.burst();
    }

    /**
     * Replaces the object API calls among actions by those that may go out now.
     *
     * @param actions actions of the engines
     * @param nowNanos the time
     * @return the actions for the shell
     */
    public synchronized List<Action> pass(List<Action> actions, long nowNanos) {
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
        if (!queue.isEmpty() || !refused.isEmpty()) {
            send(nowNanos, passed);
        }
        return passed;
    }

    /**
     * Takes the end of a call before its engine does.
     *
     * @param answered the answer
     * @param nowNanos the time
     */
    public synchronized void answered(Event.StoreAnswered answered, long nowNanos) {
        Long sent = sentNanos.remove(answered.call());
        if (sent == null) {
            return;
        }
        if (answered.call().equals(trial)) {
            trial = null;
        }
        refill(nowNanos);
        if (!isOutage(answered.answer())) {
            failures = 0;
            blockedUntilNanos = nowNanos;
            answeredSentNanos = Math.max(answeredSentNanos, sent);
        } else if (sent >= answeredSentNanos && (failures == 0 || sent >= trialNanos)) {
            // A failure of a call older than the last success tells nothing new.
            backOff(nowNanos);
        }
    }

    /**
     * Takes the calls that ended without being sent.
     *
     * @param nowNanos the time
     * @return their answers, in order
     */
    public synchronized List<Event.StoreAnswered> takeRefused(long nowNanos) {
        wakeSet = false;
        long oldestNanos = nowNanos - settings.queueMaxMillis() * NANOS_PER_MILLI;
        Iterator<Waiting> waiting = queue.iterator();
        while (waiting.hasNext()) {
            Waiting next = waiting.next();
            if (!next.isWatch() && next.sinceNanos < oldestNanos) {
                waiting.remove();
                refuse(next);
            }
        }
        List<Event.StoreAnswered> taken = List.copyOf(refused);
        refused.clear();
        return taken;
    }

    /**
     * Returns the calls that wait for the budget.
     *
     * @return their number
     */
    public synchronized int waitingCalls() {
        return queue.size();
    }

    /**
     * Returns the calls in flight, waiting watches included.
     *
     * @return their number
     */
    public synchronized int callsInFlight() {
        return sentNanos.size();
    }

    /**
     * Returns the failures since the last success.
     *
     * @return 0 while the object API answers
     */
    public synchronized int consecutiveFailures() {
        return failures;
    }

    private void enqueue(Action.CallStore call, long nowNanos) {
        replaceWatch(call);
        if (queue.size() >= settings.queueLimit()) {
            Waiting oldest = null;
            for (Waiting waiting : queue) {
                if (!waiting.isWatch()) {
                    oldest = waiting;
                    break;
                }
            }
            if (oldest == null) {
                oldest = queue.peek();
            }
            queue.remove(oldest);
            refuse(oldest);
        }
        queue.add(new Waiting(call, nowNanos));
    }

    /** A newer watch of the same key takes the place of one that still waits for the budget. */
    private void replaceWatch(Action.CallStore call) {
        if (call.request() instanceof StoreRequest.Watch watch) {
            for (Waiting waiting : queue) {
                if (waiting.call.request() instanceof StoreRequest.Watch older
                        && older.key().equals(watch.key())
                        && waiting.call.call().owner() == call.call().owner()) {
                    queue.remove(waiting);
                    refuse(waiting);
                    return;
                }
            }
        }
    }

    private void refuse(Waiting waiting) {
        refused.add(
                new Event.StoreAnswered(
                        waiting.call.call(), new StoreAnswer.Failed(StoreFailure.NOT_SENT)));
    }

    private void send(long nowNanos, List<Action> passed) {
        refill(nowNanos);
        while (!queue.isEmpty() && mayCall(nowNanos)) {
            Action.CallStore call = next();
            tokens -= 1;
            sentNanos.put(call.call(), nowNanos);
            if (failures > 0) {
                trial = call.call();
                trialNanos = nowNanos;
            }
            passed.add(call);
        }
        setWake(nowNanos, passed);
    }

    private boolean mayCall(long nowNanos) {
        return tokens >= 1
                && sentNanos.size() < settings.maxInFlight()
                && (failures == 0
                        || nowNanos >= blockedUntilNanos
                                && (trial == null || nowNanos >= trialEndNanos()));
    }

    /**
     * Takes the next call. During back-off a watch goes out without waiting time, because a trial
     * has to tell at once whether the object API answers.
     */
    private Action.CallStore next() {
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
        trialNanos = nowNanos;
        tokens = Math.min(tokens, 1);
    }

    private void setWake(long nowNanos, List<Action> passed) {
        if (queue.isEmpty() && refused.isEmpty()) {
            return;
        }
        long atNanos = refused.isEmpty() ? nextChanceNanos(nowNanos) : nowNanos + NANOS_PER_MILLI;
        if (!wakeSet || atNanos < wakeNanos) {
            wakeSet = true;
            wakeNanos = atNanos;
            passed.add(new Action.SetTimer(TIMER, Math.max(0, atNanos - nowNanos)));
        }
    }

    private long nextChanceNanos(long nowNanos) {
        long tokenNanos =
                tokens >= 1
                        ? nowNanos
                        : nowNanos
                                + (long)
                                        Math.ceil(
                                                (1 - tokens)
                                                        * NANOS_PER_SECOND
                                                        / settings.callsPerSecond());
        long openNanos = failures == 0 ? nowNanos : blockedUntilNanos;
        long trialEnds = failures == 0 || trial == null ? nowNanos : trialEndNanos();
        long chance = Math.max(tokenNanos, Math.max(openNanos, trialEnds));
        // A full in-flight table opens with an answer; the wake-up then only expires old calls.
        boolean full = sentNanos.size() >= settings.maxInFlight();
        return Math.max(chance, nowNanos + (full ? FULL_WAKE_NANOS : NANOS_PER_MILLI));
    }

    private long trialEndNanos() {
        return trialNanos + settings.trialMillis() * NANOS_PER_MILLI;
    }

    private void refill(long nowNanos) {
        if (!started) {
            started = true;
            filledNanos = nowNanos;
        }
        long elapsedNanos = Math.max(0, nowNanos - filledNanos);
        filledNanos += elapsedNanos;
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

    /** A call in the queue. */
    private record Waiting(Action.CallStore call, long sinceNanos) {
        boolean isWatch() {
            return call.request() instanceof StoreRequest.Watch;
        }
    }
}
