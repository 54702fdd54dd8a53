package org.snipeslip.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * Sends a snapshot of a partition's records to the next owner in messages of limited size. The
 * messages are repeated until the ownership object names another owner or the handover times out.
 */
final class HandoverSender {
    /**
     * Messages sent at once; the next ones are sent after {@link
     * IdempotencySettings#retryMillis()}.
     */
    private static final int PARTS_PER_ROUND = 16;

    private final PartitionId id;
    private final long epoch;
    private final List<List<ClaimMessage.ClaimRecordValue>> parts;
    private int nextPart;

    HandoverSender(
            PartitionId id,
            long epoch,
            ClaimTable table,
            IdempotencyContext context,
            long nowNanos) {
        this.id = id;
        this.epoch = epoch;
        this.parts = split(table.values(nowNanos), context.settings.maxSegmentBytes());
    }

    void sendRound(IdempotencyContext context, InstanceId nextOwner) {
        for (int i = 0; i < Math.min(PARTS_PER_ROUND, parts.size()); i++) {
            context.send(
                    nextOwner,
                    new ClaimMessage.OwnershipHandover(
                            id.group().value(),
                            id.number(),
                            epoch,
                            nextPart,
                            parts.size(),
                            parts.get(nextPart)));
            nextPart = (nextPart + 1) % parts.size();
        }
    }

    private static List<List<ClaimMessage.ClaimRecordValue>> split(
            List<ClaimMessage.ClaimRecordValue> records, int maxBytes) {
        List<List<ClaimMessage.ClaimRecordValue>> parts = new ArrayList<>();
        List<ClaimMessage.ClaimRecordValue> part = new ArrayList<>();
        int sizeBytes = 0;
        for (ClaimMessage.ClaimRecordValue record : records) {
            int recordBytes = SegmentCodec.encode(HandoverReceiver.record(record)).length();
            if (!part.isEmpty() && sizeBytes + recordBytes > maxBytes) {
                parts.add(part);
                part = new ArrayList<>();
                sizeBytes = 0;
            }
            part.add(record);
            sizeBytes += recordBytes;
        }
        parts.add(part);
        return parts;
    }
}
