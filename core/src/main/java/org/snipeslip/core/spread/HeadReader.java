package org.snipeslip.core.spread;

import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/**
 * Reads the head from the object API: a watcher keeps a watch waiting, any other instance reads it
 * now and then. At most one call counts at a time; the answer of a call given up is ignored.
 */
final class HeadReader {
    static final TimerId TIMER = new TimerId(EngineName.CONTROL, "config-head");

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ControlSettings settings;
    private final StoreCallNumbers numbers;
    private final RandomGenerator random;
    private boolean isWatcher;
    private long headVersion;
    private long pendingCall;
    private long atNanos;

    HeadReader(ControlSettings settings, StoreCallNumbers numbers, RandomGenerator random) {
        this.settings = settings;
        this.numbers = numbers;
        this.random = random;
    }

    /** Starts or stops watching; a new watcher calls at once. */
    void watch(boolean shouldWatch, long nowNanos, Outbox outbox) {
        boolean begins = shouldWatch && !isWatcher;
        isWatcher = shouldWatch;
        if (begins) {
            call(nowNanos, outbox);
        }
    }

    /** Tells whether an answer belongs to the pending call, which it then ends. */
    boolean ends(long call) {
        if (call != pendingCall) {
            return false;
        }
        pendingCall = 0;
        return true;
    }

    /** Notes the version read, so that the next watch waits for a later one. */
    void read(long version) {
        headVersion = version;
    }

    /** Forgets the version, so that the next watch answers at once. */
    void reread() {
        headVersion = 0;
    }

    /** Goes on after an answer. */
    void next(boolean failed, boolean isUrgent, long nowNanos, Outbox outbox) {
        if (isWatcher && !failed) {
            call(nowNanos, outbox);
        } else if (failed && (isWatcher || isUrgent)) {
            wakeAfter(jittered(settings.retryMillis()), nowNanos, outbox);
        } else {
            wakeAfter(jittered(settings.pollMillis()), nowNanos, outbox);
        }
    }

    /** Tells whether the pending call got no answer in time. */
    boolean isLost(long nowNanos) {
        return pendingCall != 0 && nowNanos >= atNanos;
    }

    /** Calls when the pause is over or, for a watcher, when the pending call is lost. */
    void timerFired(boolean isUrgent, long nowNanos, Outbox outbox) {
        if (nowNanos < atNanos) {
            wakeAfter(atNanos - nowNanos, nowNanos, outbox);
        } else if (isLost(nowNanos) && !isWatcher) {
            pendingCall = 0;
            next(true, isUrgent, nowNanos, outbox);
        } else {
            call(nowNanos, outbox);
        }
    }

    private void call(long nowNanos, Outbox outbox) {
        pendingCall = numbers.next();
        StoreRequest request =
                isWatcher
                        ? new StoreRequest.Watch(
                                ConfigHead.KEY, headVersion, settings.watchMillis())
                        : new StoreRequest.Read(ConfigHead.KEY);
        outbox.add(new Action.CallStore(new StoreCallId(EngineName.CONTROL, pendingCall), request));
        long waitMillis = settings.watchSlackMillis() + (isWatcher ? settings.watchMillis() : 0);
        wakeAfter(waitMillis * NANOS_PER_MILLI, nowNanos, outbox);
    }

    private long jittered(long millis) {
        long nanos = millis * NANOS_PER_MILLI;
        return nanos * 3 / 4 + random.nextLong(nanos / 2);
    }

    private void wakeAfter(long delayNanos, long nowNanos, Outbox outbox) {
        atNanos = nowNanos + delayNanos;
        outbox.add(new Action.SetTimer(TIMER, delayNanos));
    }
}
