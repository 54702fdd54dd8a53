package org.snipeslip.core.idempotency;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes the records of a table again, spread over the segments from a start sequence number on, as
 * many per segment as fit. Once all records are written, the segments before the start can be
 * deleted.
 */
final class Checkpoint {
    private final long startSequence;
    private final Deque<String> remaining;

    Checkpoint(long startSequence, ClaimTable table) {
        this.startSequence = startSequence;
        this.remaining = new ArrayDeque<>(table.digests());
    }

    void fill(SegmentBatch batch, ClaimTable table) {
        while (!remaining.isEmpty()) {
            ClaimRecord record = table.get(remaining.peek());
            if (record != null && !batch.addCheckpointed(record)) {
                return;
            }
            remaining.remove();
        }
    }

    boolean isComplete() {
        return remaining.isEmpty();
    }

    long startSequence() {
        return startSequence;
    }
}
