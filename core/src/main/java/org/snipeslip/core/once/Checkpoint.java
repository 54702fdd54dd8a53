package org.snipeslip.core.once;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Repeats the records of a table in the segments from a start on, as many per segment as fit. When
 * all are repeated, the segments before the start are not needed any more.
 */
final class Checkpoint {
    private final long start;
    private final Deque<String> remaining;

    Checkpoint(long start, ClaimTable table) {
        this.start = start;
        this.remaining = new ArrayDeque<>(table.digests());
    }

    void fill(Batch batch, ClaimTable table) {
        while (!remaining.isEmpty()) {
            ClaimRecord record = table.get(remaining.peek());
            if (record != null && !batch.addRepeated(record)) {
                return;
            }
            remaining.remove();
        }
    }

    boolean isComplete() {
        return remaining.isEmpty();
    }

    long start() {
        return start;
    }
}
