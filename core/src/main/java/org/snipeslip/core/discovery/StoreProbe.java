package org.snipeslip.core.discovery;

/** Cheap requests that show whether this instance reaches a store that another one has lost. */
final class StoreProbe {
    private static final long NEVER = Long.MAX_VALUE;

    /** The response only shows whether the store is reached. */
    private static final long WAIT_MILLIS = 1;

    private DiscoveryRequest pending;
    private long dueNanos = NEVER;

    /** Counts down, so that no probe equals a backup watch. */
    private long attempts;

    long dueNanos() {
        return dueNanos;
    }

    /** Schedules a probe unless one is scheduled or pending. */
    void schedule(long atNanos) {
        if (dueNanos == NEVER && pending == null) {
            dueNanos = atNanos;
        }
    }

    /** Cancels the scheduled probe; the response to a pending one is still awaited. */
    void cancel() {
        dueNanos = NEVER;
    }

    /** Returns the next probe and marks it as pending, or returns null if none is due. */
    DiscoveryRequest dueRequest(StoreRevision knownRevision, long nowNanos) {
        if (nowNanos < dueNanos) {
            return null;
        }
        dueNanos = NEVER;
        pending =
                new DiscoveryRequest.Watch(
                        DiscoveryKind.EVACUATIONS, knownRevision, WAIT_MILLIS, true, --attempts);
        return pending;
    }

    /** Returns whether a request is the pending probe, which then is no longer pending. */
    boolean ends(DiscoveryRequest request) {
        if (!request.equals(pending)) {
            return false;
        }
        pending = null;
        return true;
    }
}
