package org.snipeslip.core.call;

import java.util.random.RandomGenerator;
import org.snipeslip.core.call.DecisionRecord.Exclusion;

/** Why the last choice excluded servers. Guarded by the shard's lock. */
final class ExcludedServers {
    private static final int MAX_KEPT = 4;

    /** Servers that leave are usually replaced within this time. */
    private static final long REPLACEMENT_MILLIS = 500;

    private static final double MIN_SPREAD = 0.5;

    private final ServerState[] states = new ServerState[MAX_KEPT];
    private final Exclusion[] exclusions = new Exclusion[MAX_KEPT];
    private final RandomGenerator random;
    private final RateLimitWait rateLimitWait;
    private int size;
    private boolean busy;
    private boolean leaving;

    ExcludedServers(RandomGenerator random) {
        this.random = random;
        rateLimitWait = new RateLimitWait(random);
    }

    void clear() {
        size = 0;
        busy = false;
        leaving = false;
        rateLimitWait.reset();
    }

    void add(ServerState state, Exclusion exclusion, long nowNanos) {
        busy |= exclusion == Exclusion.AT_LIMIT || exclusion == Exclusion.RUNS_SUSPECT;
        leaving |= exclusion == Exclusion.DRAINING;
        if (exclusion == Exclusion.RATE_LIMITED) {
            rateLimitWait.add(state.allowance.nextNanos(nowNanos));
        }
        if (size < MAX_KEPT) {
            states[size] = state;
            exclusions[size++] = exclusion;
        }
    }

    /** Returns whether a server was excluded only because it has no capacity now. */
    boolean isBusy() {
        return busy;
    }

    /**
     * Returns when a call returns that found no server: a randomised time if servers are leaving,
     * which are replaced soon; 0 if nothing is known.
     */
    long replacementMillis() {
        return leaving ? (long) ((MIN_SPREAD + random.nextDouble()) * REPLACEMENT_MILLIS) : 0;
    }

    RateLimitWait rateLimitWait() {
        return rateLimitWait;
    }

    int size() {
        return size;
    }

    void putAll(CandidateSnapshot snapshot, boolean adaptive, long nowNanos) {
        for (int i = 0; i < size; i++) {
            int limit = states[i].currentLimit(adaptive, nowNanos);
            snapshot.put(states[i], exclusions[i], -1, limit, nowNanos);
        }
    }
}
