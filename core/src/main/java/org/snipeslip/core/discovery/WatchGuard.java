package org.snipeslip.core.discovery;

/**
 * A cheap watch with a short wait beside the watch of one kind. A connection may go silent without
 * an error while new ones work; the cheap watch then brings a change that the other one does not.
 * Its failures show within its wait that the store is out of reach.
 */
final class WatchGuard {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final FleetKind kind;
    private final FollowSettings settings;
    private final StoreOutage outage;
    private FleetCall pending;

    /** Up to where cheap watches were answered; a watch that waits is still at an older one. */
    private long revision = -1;

    private long attempts;
    private long dueNanos = Long.MIN_VALUE;
    private long suspectNanos = NEVER;

    WatchGuard(FleetKind kind, FollowSettings settings, StoreOutage outage) {
        this.kind = kind;
        this.settings = settings;
        this.outage = outage;
    }

    /** Returns when {@link #dueCall} or {@link #suspects} has something to say. */
    long dueNanos() {
        return Math.min(pending == null ? dueNanos : NEVER, suspectNanos);
    }

    /**
     * Returns the cheap watch if it is due, or null.
     *
     * @param knownRevision where the watch beside it started
     */
    FleetCall dueCall(long knownRevision, long nowNanos) {
        if (pending != null || nowNanos < dueNanos) {
            return null;
        }
        // From where the last one ended: a store that forgets quickly keeps that history longest.
        revision = Math.max(revision, knownRevision);
        pending = new FleetCall.Watch(kind, revision, waitMillis(), true, ++attempts);
        return pending;
    }

    private long waitMillis() {
        if (kind != FleetKind.EVACUATIONS) {
            return settings.guardMillis();
        }
        return outage.isFailing() ? settings.returnMillis() : settings.heartbeatMillis();
    }

    boolean awaits(FleetCall call) {
        return call.equals(pending);
    }

    /** Takes an answer; a change that the pending watch did not bring makes that one suspect. */
    void answered(FleetAnswer answer, boolean watchMissedChange, long nowNanos) {
        pending = null;
        boolean again = false;
        if (answer instanceof FleetAnswer.Changes changes) {
            again = changes.objects().isEmpty();
            revision = Math.max(revision, changes.revision());
        }
        dueNanos = again ? nowNanos : nowNanos + settings.suspectMillis() * NANOS_PER_MILLI;
        if (watchMissedChange && suspectNanos == NEVER) {
            suspectNanos = nowNanos + settings.suspectMillis() * NANOS_PER_MILLI;
        }
    }

    /** The watch brought an answer, so its connection works. */
    void watchAnswered() {
        suspectNanos = NEVER;
    }

    /** Tells, once, that the watch lags too far behind. */
    boolean suspects(long nowNanos) {
        if (nowNanos < suspectNanos) {
            return false;
        }
        suspectNanos = NEVER;
        return true;
    }

    void restart(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
        suspectNanos = NEVER;
    }
}
