package org.snipeslip.core.idempotency;

import java.util.ArrayList;
import java.util.List;

/** Collects the records of one segment up to a size limit; the first record always fits. */
final class SegmentBatch {
    private final int maxBytes;
    private final List<ClaimRecord> checkpointed = new ArrayList<>();
    private final List<ClaimRecord> changed = new ArrayList<>();
    private int sizeBytes;

    SegmentBatch(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    boolean addChanged(ClaimRecord record) {
        return add(changed, record);
    }

    boolean addCheckpointed(ClaimRecord record) {
        return add(checkpointed, record);
    }

    /** Returns checkpointed records before changed ones, because the last record of a key wins. */
    List<ClaimRecord> records() {
        List<ClaimRecord> records = new ArrayList<>(checkpointed);
        records.addAll(changed);
        return records;
    }

    private boolean add(List<ClaimRecord> list, ClaimRecord record) {
        // The text is ASCII, so its length is its size in bytes; one byte is added for the newline.
        int recordBytes = SegmentCodec.encode(record).length() + 1;
        if (sizeBytes > 0 && sizeBytes + recordBytes > maxBytes) {
            return false;
        }
        sizeBytes += recordBytes;
        list.add(record);
        return true;
    }
}
