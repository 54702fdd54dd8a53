package org.snipeslip.core.once;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** Keys whose record changed and is not in the log yet; never more than the table has records. */
final class UnwrittenOutcomes {
    private final ClaimTable table;
    private final long flushNanos;
    private final Set<String> digests = new LinkedHashSet<>();
    private long sinceNanos;

    UnwrittenOutcomes(ClaimTable table, OnceSettings settings) {
        this.table = table;
        this.flushNanos = settings.flushMillis() * OnceSettings.NANOS_PER_MILLI;
    }

    void add(String digest, long nowNanos) {
        if (digests.isEmpty()) {
            sinceNanos = nowNanos;
        }
        digests.add(digest);
    }

    boolean isEmpty() {
        return digests.isEmpty();
    }

    /** When they must be appended even if no claim waits. */
    long flushAtNanos() {
        return sinceNanos + flushNanos;
    }

    /** Moves records to a batch for as long as it takes them. */
    void fill(Batch batch) {
        Iterator<String> next = digests.iterator();
        while (next.hasNext()) {
            ClaimRecord record = table.get(next.next());
            if (record != null && !batch.addChanged(record)) {
                return;
            }
            next.remove();
        }
    }

    void clear() {
        digests.clear();
    }

    /** Replaces the table by what the log says, and applies the unwritten outcomes to it. */
    void replaceTable(Replay replay, long nowNanos) {
        List<ClaimRecord> records =
                digests.stream().map(table::get).filter(Objects::nonNull).toList();
        table.replaceBy(replay.records(), nowNanos);
        digests.clear();
        for (ClaimRecord record : records) {
            if (table.end(record, nowNanos)) {
                add(record.digest(), nowNanos);
            }
        }
    }
}
