package org.snipeslip.core.idempotency;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Keys whose changed record is not in the log yet. There are never more of them than records in the
 * table.
 */
final class UnwrittenOutcomes {
    private final ClaimTable table;
    private final long flushNanos;
    private final Set<String> digests = new LinkedHashSet<>();
    private long oldestNanos;

    UnwrittenOutcomes(ClaimTable table, IdempotencySettings settings) {
        this.table = table;
        this.flushNanos = settings.outcomeFlushMillis() * IdempotencySettings.NANOS_PER_MILLI;
    }

    void add(String digest, long nowNanos) {
        if (digests.isEmpty()) {
            oldestNanos = nowNanos;
        }
        digests.add(digest);
    }

    boolean isEmpty() {
        return digests.isEmpty();
    }

    /** Returns the time at which the outcomes must be appended even if no claim waits. */
    long flushAtNanos() {
        return oldestNanos + flushNanos;
    }

    /** Moves records to a batch until it is full. */
    void moveTo(SegmentBatch batch) {
        Iterator<String> iterator = digests.iterator();
        while (iterator.hasNext()) {
            ClaimRecord record = table.get(iterator.next());
            if (record != null && !batch.addChanged(record)) {
                return;
            }
            iterator.remove();
        }
    }

    void clear() {
        digests.clear();
    }

    /** Replaces the table with the contents of the log and reapplies the unwritten outcomes. */
    void replaceTable(LogContents contents, long nowNanos) {
        List<ClaimRecord> unwritten =
                digests.stream().map(table::get).filter(Objects::nonNull).toList();
        table.replaceAll(contents.records(), nowNanos);
        digests.clear();
        for (ClaimRecord record : unwritten) {
            if (table.end(record, nowNanos)) {
                add(record.digest(), nowNanos);
            }
        }
    }
}
