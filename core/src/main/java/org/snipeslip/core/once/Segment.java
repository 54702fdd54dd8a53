package org.snipeslip.core.once;

import java.util.List;
import org.snipeslip.core.id.InstanceId;

/**
 * One object of a partition's log.
 *
 * @param kind why it was written
 * @param writer instance, incarnation and write number of the writer, unique per segment
 * @param base oldest sequence number that a reader needs; older segments may be gone
 * @param records records that changed, or that a checkpoint repeats; the last one of a key counts
 */
record Segment(Kind kind, Writer writer, long base, List<ClaimRecord> records) {
    Segment {
        records = List.copyOf(records);
    }

    /** Identity of a write. */
    record Writer(InstanceId instance, long incarnation, long writeNumber) {
        boolean isProcess(InstanceId otherInstance, long otherIncarnation) {
            return instance.equals(otherInstance) && incarnation == otherIncarnation;
        }
    }

    /** Why a segment was written. */
    enum Kind {
        /** The writer became the owner. */
        TAKEOVER,
        /** The owner recorded claims or renewed its lease. */
        APPEND,
        /** The owner gave the partition up; the next may take it at once. */
        HANDOVER
    }
}
