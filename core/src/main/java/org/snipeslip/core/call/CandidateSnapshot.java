package org.snipeslip.core.call;

import java.util.AbstractList;
import java.util.Objects;
import org.snipeslip.core.id.BackendServerId;

/**
 * The candidates of one decision, packed into two arrays. A decision is recorded for every call but
 * rarely read, so the candidate objects are created only on access.
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

    /** Appends a candidate. Must not be called after the snapshot is published. */
    void put(
            ServerState state,
            DecisionRecord.Exclusion exclusion,
            double scoreNanos,
            int limit,
            long nowNanos) {
        ids[size] = state.server.id();
        int offset = size * STRIDE;
        packed[offset] = (long) scoreNanos;
        packed[offset + 1] = packInts(state.load.inFlight(), limit);
        packed[offset + 2] = packInts(state.load.reportedInFlight(), exclusion.ordinal());
        packed[offset + 3] = state.load.reportAgeNanos(nowNanos);
        size++;
    }

    @Override
    public DecisionRecord.Candidate get(int index) {
        Objects.checkIndex(index, size);
        int offset = index * STRIDE;
        return new DecisionRecord.Candidate(
                ids[index],
                EXCLUSIONS[(int) packed[offset + 2]],
                packed[offset],
                (int) (packed[offset + 1] >> INT_BITS),
                (int) packed[offset + 1],
                (int) (packed[offset + 2] >> INT_BITS),
                packed[offset + 3]);
    }

    @Override
    public int size() {
        return size;
    }

    private static long packInts(int high, int low) {
        return ((long) high << INT_BITS) | (low & 0xffffffffL);
    }
}
