package org.snipeslip.core.idempotency;

import java.util.List;
import org.snipeslip.core.id.InstanceId;

/**
 * A segment of a partition's log, stored as one object.
 *
 * @param kind reason why it was written
 * @param writeId identifies the write; unique per segment
 * @param baseSequence oldest sequence number that a reader needs; older segments may be deleted
 * @param records records that changed or belong to a checkpoint; the last record of a key wins
 */
record Segment(Kind kind, WriteId writeId, long baseSequence, List<ClaimRecord> records) {
    Segment {
        records = List.copyOf(records);
    }

    /**
     * Identifies a write.
     *
     * @param instance instance of the writer
     * @param incarnation incarnation of the writer's process
     * @param writeNumber number of the write, unique for the incarnation
     */
    record WriteId(InstanceId instance, long incarnation, long writeNumber) {
        boolean isFrom(InstanceId otherInstance, long otherIncarnation) {
            return instance.equals(otherInstance) && incarnation == otherIncarnation;
        }
    }

    /** Reasons why a segment was written. */
    enum Kind {
        /** The writer took the partition over. */
        TAKEOVER,
        /** The owner recorded claims or renewed its lease. */
        APPEND,
        /** The owner released the partition; the next owner may take it over immediately. */
        HANDOVER
    }
}
