package org.snipeslip.core.once;

import java.util.ArrayList;
import java.util.List;

/** Records of one segment, up to its size limit. Always takes one record. */
final class Batch {
    private final int limitBytes;
    private final List<ClaimRecord> repeated = new ArrayList<>();
    private final List<ClaimRecord> changed = new ArrayList<>();
    private int sizeBytes;

    Batch(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    boolean addChanged(ClaimRecord record) {
        return add(changed, record);
    }

    boolean addRepeated(ClaimRecord record) {
        return add(repeated, record);
    }

    /** Repeated records come first, because the last record of a key counts. */
    List<ClaimRecord> records() {
        List<ClaimRecord> all = new ArrayList<>(repeated);
        all.addAll(changed);
        return all;
    }

    private boolean add(List<ClaimRecord> list, ClaimRecord record) {
        // The text is ASCII, so its length is its size; one more for the line end.
        int size = SegmentCodec.encode(record).length() + 1;
        if (sizeBytes > 0 && sizeBytes + size > limitBytes) {
            return false;
        }
        sizeBytes += size;
        list.add(record);
        return true;
    }
}
