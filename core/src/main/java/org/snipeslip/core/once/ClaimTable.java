package org.snipeslip.core.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * The records of one partition, in order of their last change. Holds a bounded number of records;
 * none is dropped before the retention time, so a full table takes no new key. Bodies of answers
 * are bounded together; past the bound an answer is kept without its body.
 */
final class ClaimTable {
    /**
     * Bytes of bodies per partition. An instance of 16 owns two partitions, and has 64 MB for all
     * its tables.
     */
    static final int BODY_LIMIT_BYTES = 8 * 1024 * 1024;

    private final int limit;
    private final long retentionNanos;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private int bodyBytes;

    ClaimTable(OnceSettings settings) {
        this.limit = settings.maxRecords();
        this.retentionNanos = settings.retentionNanos();
    }

    ClaimRecord get(String digest) {
        Entry entry = entries.get(digest);
        return entry == null ? null : entry.record;
    }

    void put(ClaimRecord record, long nowNanos) {
        Entry replaced = entries.remove(record.digest());
        bodyBytes -= replaced == null ? 0 : replaced.bodyBytes();
        boolean fits = bodyBytes + record.answer().body().length() <= BODY_LIMIT_BYTES;
        Entry entry = new Entry(fits ? record : record.withoutBody(), nowNanos);
        entries.put(record.digest(), entry);
        bodyBytes += entry.bodyBytes();
    }

    /** Applies the end of a claim; returns false if the key is not granted to that claim. */
    boolean end(Grantee grantee, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        ClaimRecord record = get(outcome.keyDigest());
        boolean granted = record != null && record.grantee().equals(grantee);
        return granted && end(record.ended(outcome.end(), outcome.answer()), nowNanos);
    }

    /** Replaces a grant by the ended record of the same claim. */
    boolean end(ClaimRecord ended, long nowNanos) {
        ClaimRecord record = get(ended.digest());
        if (record == null
                || !record.grantee().equals(ended.grantee())
                || record.end() != ClaimMessage.End.GRANTED
                || ended.end() == ClaimMessage.End.GRANTED) {
            return false;
        }
        put(ended, nowNanos);
        return true;
    }

    /** Removes the records whose retention time has passed. */
    void prune(long nowNanos) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (nowNanos - entry.changedNanos < retentionNanos) {
                return;
            }
            bodyBytes -= entry.bodyBytes();
            oldest.remove();
        }
    }

    boolean hasRoomFor(int waiting) {
        return entries.size() + waiting < limit;
    }

    List<String> digests() {
        return List.copyOf(entries.keySet());
    }

    List<ClaimMessage.ClaimRecordValue> values(long nowNanos) {
        return entries.values().stream().map(entry -> entry.toValue(nowNanos)).toList();
    }

    void clear() {
        entries.clear();
        bodyBytes = 0;
    }

    void replaceBy(Map<String, ClaimRecord> records, long nowNanos) {
        clear();
        records.values().forEach(record -> put(record, nowNanos));
    }

    private record Entry(ClaimRecord record, long changedNanos) {
        int bodyBytes() {
            return record.answer().body().length();
        }

        ClaimMessage.ClaimRecordValue toValue(long nowNanos) {
            return new ClaimMessage.ClaimRecordValue(
                    record.digest(),
                    record.fingerprint(),
                    record.grantee().instance(),
                    record.grantee().incarnation(),
                    record.grantee().claim(),
                    record.end(),
                    (nowNanos - changedNanos) / OnceSettings.NANOS_PER_MILLI,
                    record.answer());
        }
    }
}
