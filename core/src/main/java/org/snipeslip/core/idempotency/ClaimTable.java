package org.snipeslip.core.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * The records of one partition, in order of their last change. The number of records is limited. No
 * record is removed before its retention time has passed, so a full table accepts no new key. The
 * total size of the answer bodies is limited too; beyond that limit, answers are kept without their
 * body.
 */
final class ClaimTable {
    /**
     * Limit on the total size of the answer bodies in one partition. With 16 instances, each one
     * owns two partitions and has 64 MB for all its tables.
     */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final int maxRecords;
    private final long retentionNanos;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private int bodyBytes;

    ClaimTable(IdempotencySettings settings) {
        this.maxRecords = settings.maxRecords();
        this.retentionNanos = settings.retentionNanos();
    }

    ClaimRecord get(String digest) {
        Entry entry = entries.get(digest);
        return entry == null ? null : entry.record;
    }

    void put(ClaimRecord record, long nowNanos) {
        Entry replaced = entries.remove(record.digest());
        bodyBytes -= replaced == null ? 0 : replaced.bodyBytes();
        boolean fits = bodyBytes + record.answer().body().length() <= MAX_BODY_BYTES;
        Entry entry = new Entry(fits ? record : record.withoutBody(), nowNanos);
        entries.put(record.digest(), entry);
        bodyBytes += entry.bodyBytes();
    }

    /** Records the end of a claim; returns false if the key is not granted to that claim. */
    boolean end(ClaimId grantedClaim, ClaimMessage.ClaimOutcome outcome, long nowNanos) {
        ClaimRecord record = get(outcome.keyDigest());
        boolean granted = record != null && record.grantedClaim().equals(grantedClaim);
        return granted && end(record.ended(outcome.state(), outcome.answer()), nowNanos);
    }

    /**
     * Replaces a grant with the ended record of the same claim; returns false if the table holds no
     * grant to that claim.
     */
    boolean end(ClaimRecord ended, long nowNanos) {
        ClaimRecord record = get(ended.digest());
        if (record == null
                || !record.grantedClaim().equals(ended.grantedClaim())
                || record.state() != ClaimMessage.ClaimState.GRANTED
                || ended.state() == ClaimMessage.ClaimState.GRANTED) {
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

    boolean hasRoomFor(int waitingClaims) {
        return entries.size() + waitingClaims < maxRecords;
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

    void replaceAll(Map<String, ClaimRecord> records, long nowNanos) {
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
                    record.grantedClaim().instance(),
                    record.grantedClaim().incarnation(),
                    record.grantedClaim().number(),
                    record.state(),
                    (nowNanos - changedNanos) / IdempotencySettings.NANOS_PER_MILLI,
                    record.answer());
        }
    }
}
