package org.snipeslip.core.idempotency;

/** Identifies a partition of the records of a home-region group. */
record PartitionId(GroupName group, int number) {
    /** Returns the common prefix of the keys of the log segments. */
    String logPrefix() {
        return "once/" + group.value() + "/" + number + "/";
    }

    /** Returns the key of a segment, zero-padded so that keys sort by sequence number. */
    String segmentKey(long sequence) {
        return logPrefix() + String.format("%016d", sequence);
    }

    /** Returns the key of the ownership object of a partition whose records are kept in memory. */
    String ownershipKey() {
        return "once-owner/" + group.value() + "/" + number;
    }

    String timerKey() {
        return "partition/" + group.value() + "/" + number;
    }
}
