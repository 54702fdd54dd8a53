package org.snipeslip.core.discovery;

/**
 * A second watch of one kind, with a short wait and possibly outdated responses, which cost less
 * than those of the main watch. A connection may stall without an error while new connections work;
 * the backup watch then reports a change that the main watch does not. Its failures show within its
 * wait that the store is unreachable.
 */
final class BackupWatch {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * Heartbeats during one backup watch of another kind, while others depend on this instance: a
     * connection that has become silent must show in less than the time limit of a change.
     */
    private static final long FOLLOWED_WAITS = 2;

    private final DiscoveryKind kind;
    private final WatchSettings settings;
    private final OutageDetector outage;
    private DiscoveryRequest pending;

    /** Latest revision reported to a backup watch; a waiting main watch is at an older one. */
    private StoreRevision revision = StoreRevision.NONE;

    /** Whether other instances follow this one, so that they depend on its view of the store. */
    private boolean followed;

    private long attempts;
    private long dueNanos = Long.MIN_VALUE;
    private long stallDeadlineNanos = NEVER;

    BackupWatch(DiscoveryKind kind, WatchSettings settings, OutageDetector outage) {
        this.kind = kind;
        this.settings = settings;
        this.outage = outage;
    }

    void setFollowed(boolean newFollowed) {
        followed = newFollowed;
    }

    /** Returns when to call {@link #dueRequest} or {@link #detectStall} next. */
    long dueNanos() {
        return Math.min(pending == null ? dueNanos : NEVER, stallDeadlineNanos);
    }

    /**
     * Returns the next backup watch and marks it as pending, or returns null if none is due.
     *
     * @param knownRevision start revision of the main watch
     */
    DiscoveryRequest dueRequest(StoreRevision knownRevision, long nowNanos) {
        if (pending != null || nowNanos < dueNanos) {
            return null;
        }
        // Starts where the last one ended, because a store that soon discards its history still has
        // the latest part of it.
        revision = revision.max(knownRevision);
        pending = new DiscoveryRequest.Watch(kind, revision, waitMillis(), true, ++attempts);
        return pending;
    }

    private long waitMillis() {
        if (kind != DiscoveryKind.EVACUATIONS) {
            return followed
                    ? FOLLOWED_WAITS * settings.followedHeartbeatMillis()
                    : settings.backupWatchMillis();
        }
        if (outage.isFailing()) {
            return settings.outageWatchMillis();
        }
        return followed ? settings.followedHeartbeatMillis() : settings.heartbeatWatchMillis();
    }

    void forgetPending() {
        pending = null;
    }

    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending);
    }

    /** Handles a response; a change that the main watch has missed starts its stall timeout. */
    void handleResponse(DiscoveryResponse response, boolean mainWatchMissedChange, long nowNanos) {
        pending = null;
        boolean noChange = false;
        if (response instanceof DiscoveryResponse.Changes changes) {
            noChange = changes.objects().isEmpty();
            revision = revision.max(changes.revision());
        }
        dueNanos = noChange ? nowNanos : nowNanos + settings.maxLagMillis() * NANOS_PER_MILLI;
        if (mainWatchMissedChange && stallDeadlineNanos == NEVER) {
            stallDeadlineNanos = nowNanos + settings.maxLagMillis() * NANOS_PER_MILLI;
        }
    }

    /** Stops the stall timeout, because the connection of the main watch works. */
    void mainWatchAnswered() {
        stallDeadlineNanos = NEVER;
    }

    /** Returns true once if the main watch has lagged behind for longer than the limit. */
    boolean detectStall(long nowNanos) {
        if (nowNanos < stallDeadlineNanos) {
            return false;
        }
        stallDeadlineNanos = NEVER;
        return true;
    }

    void restart(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
        stallDeadlineNanos = NEVER;
    }
}
