package org.snipeslip.core.control;

import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/**
 * Reads the configuration head from the object API. A watcher keeps a watch call open; any other
 * instance polls the head. At most one call is pending at a time; the answer to an abandoned call
 * is ignored.
 */
final class HeadReader {
    static final TimerId TIMER = new TimerId(EngineName.CONTROL, "config-head");

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ControlSettings settings;
    private final StoreCallNumbers callNumbers;
    private final RandomGenerator random;
    private boolean isWatcher;
    private long knownVersion;
    private long pendingCall;
    private long wakeNanos;

    HeadReader(ControlSettings settings, StoreCallNumbers callNumbers, RandomGenerator random) {
        this.settings = settings;
        this.callNumbers = callNumbers;
        this.random = random;
    }

    /** Makes this instance a watcher or not; a new watcher starts a watch at once. */
    void setWatching(boolean shouldWatch, long nowNanos, Outbox outbox) {
        boolean startsWatching = shouldWatch && !isWatcher;
        isWatcher = shouldWatch;
        if (startsWatching) {
            startCall(nowNanos, outbox);
        }
    }

    /** Ends the pending call and returns true if it has the given number. */
    boolean endIfPending(long call) {
        if (call != pendingCall) {
            return false;
        }
        pendingCall = 0;
        return true;
    }

    /** Records the version that was read, so that the next watch waits for a later one. */
    void setKnownVersion(long version) {
        knownVersion = version;
    }

    /** Forgets the known version, so that the next watch is answered at once if a head exists. */
    void forgetVersion() {
        knownVersion = 0;
    }

    /**
     * Schedules the next call after an answer or a lost call.
     *
     * @param failed whether the last call failed or was lost
     * @param isUrgent whether an instance that is not a watcher also retries soon after a failure
     */
    void scheduleNext(boolean failed, boolean isUrgent, long nowNanos, Outbox outbox) {
        if (isWatcher && !failed) {
            startCall(nowNanos, outbox);
        } else if (failed && (isWatcher || isUrgent)) {
            wakeAfter(jittered(settings.retryDelayMillis()), nowNanos, outbox);
        } else {
            wakeAfter(jittered(settings.pollIntervalMillis()), nowNanos, outbox);
        }
    }

    /** Returns whether a call is pending and was not answered in time. */
    boolean isOverdue(long nowNanos) {
        return pendingCall != 0 && nowNanos >= wakeNanos;
    }

    /**
     * Starts the next call if its time has come. A pending call that was not answered in time is
     * abandoned: a watcher starts a new call at once, any other instance after a delay.
     */
    void timerFired(boolean isUrgent, long nowNanos, Outbox outbox) {
        if (nowNanos < wakeNanos) {
            wakeAfter(wakeNanos - nowNanos, nowNanos, outbox);
        } else if (isOverdue(nowNanos) && !isWatcher) {
            pendingCall = 0;
            scheduleNext(true, isUrgent, nowNanos, outbox);
        } else {
            startCall(nowNanos, outbox);
        }
    }

    private void startCall(long nowNanos, Outbox outbox) {
        pendingCall = callNumbers.next();
        StoreRequest request =
                isWatcher
                        ? new StoreRequest.Watch(
                                ConfigHead.KEY, knownVersion, settings.watchWaitMillis())
                        : new StoreRequest.Read(ConfigHead.KEY);
        outbox.add(new Action.CallStore(new StoreCallId(EngineName.CONTROL, pendingCall), request));
        long waitMillis =
                settings.watchSlackMillis() + (isWatcher ? settings.watchWaitMillis() : 0);
        wakeAfter(waitMillis * NANOS_PER_MILLI, nowNanos, outbox);
    }

    private long jittered(long millis) {
        long nanos = millis * NANOS_PER_MILLI;
        return nanos * 3 / 4 + random.nextLong(nanos / 2);
    }

    private void wakeAfter(long delayNanos, long nowNanos, Outbox outbox) {
        wakeNanos = nowNanos + delayNanos;
        outbox.add(new Action.SetTimer(TIMER, delayNanos));
    }
}
