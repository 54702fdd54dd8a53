package org.snipeslip.core.call;

import java.util.AbstractList;
import java.util.Objects;
import org.snipeslip.core.id.BackendServerId;

/**
 * The candidates of one decision, packed into two arrays. A decision is recorded for every call,
 * but the records are rarely read; the candidate objects are built when they are.
 */
final class CandidateSnapshot extends AbstractList<DecisionRecord.Candidate> {
    static final int MAX_SIZE = 16;

    private static final DecisionRecord.Exclusion[] EXCLUSIONS = DecisionRecord.Exclusion.values();
    private static final int STRIDE = 4;
    private static final int INT_BITS = 32;

    private final BackendServerId[] ids;
    private final long[] packed;
    private int size;

    CandidateSnapshot(int capacity) {
        ids = new BackendServerId[capacity];
        packed = new long[capacity * STRIDE];
    }

    /** Used before the snapshot is published only. */
    void put(
            ServerState state,
            DecisionRecord.Exclusion exclusion,
            double scoreNanos,
            int limit,
            long nowNanos) {
        ids[size] = state.server.id();
        int at = size * STRIDE;
        packed[at] = (long) scoreNanos;
        packed[at + 1] = pair(state.load.inFlight(), limit);
        packed[at + 2] = pair(state.load.reportedInFlight(), exclusion.ordinal());
        packed[at + 3] = state.load.reportAgeNanos(nowNanos);
        size++;
    }

    @Override
    public DecisionRecord.Candidate get(int index) {
        Objects.checkIndex(index, size);
        int at = index * STRIDE;
        return new DecisionRecord.Candidate(
                ids[index],
                EXCLUSIONS[(int) packed[at + 2]],
                packed[at],
                (int) (packed[at + 1] >> INT_BITS),
                (int) packed[at + 1],
                (int) (packed[at + 2] >> INT_BITS),
                packed[at + 3]);
    }

    @Override
    public int size() {
        return size;
    }

    private static long pair(int high, int low) {
        return ((long) high << INT_BITS) | (low & 0xffffffffL);
    }
}
