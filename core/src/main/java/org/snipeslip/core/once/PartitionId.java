package org.snipeslip.core.once;

/** Names a partition of the records of a group. */
record PartitionId(GroupName group, int number) {
    /** Prefix of the keys of the log segments. */
    String logPrefix() {
        return "once/" + group.value() + "/" + number + "/";
    }

    /** Key of a segment; the width keeps the order of keys that of numbers. */
    String segmentKey(long sequence) {
        return logPrefix() + String.format("%016d", sequence);
    }

    /** Key of the ownership object of a group whose records stay in memory. */
    String ownershipKey() {
        return "once-owner/" + group.value() + "/" + number;
    }

    String timerKey() {
        return "partition/" + group.value() + "/" + number;
    }
}
