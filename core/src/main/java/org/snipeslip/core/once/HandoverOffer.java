package org.snipeslip.core.once;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * The frozen records of a partition, sent to the next owner in messages of bounded size and again
 * until the ownership object names another owner or time is up.
 */
final class HandoverOffer {
    /** Messages per round; a round follows after the retry time. */
    private static final int PARTS_PER_ROUND = 16;

    private final PartitionId id;
    private final long epoch;
    private final List<List<ClaimMessage.ClaimRecordValue>> parts;
    private int nextPart;

    HandoverOffer(PartitionId id, long epoch, ClaimTable table, Scope scope, long nowNanos) {
        this.id = id;
        this.epoch = epoch;
        this.parts = split(table.values(nowNanos), scope.settings.maxSegmentBytes());
    }

    void sendRound(Scope scope, InstanceId to) {
        for (int i = 0; i < Math.min(PARTS_PER_ROUND, parts.size()); i++) {
            scope.send(
                    to,
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
            List<ClaimMessage.ClaimRecordValue> records, int limitBytes) {
        List<List<ClaimMessage.ClaimRecordValue>> parts = new ArrayList<>();
        List<ClaimMessage.ClaimRecordValue> part = new ArrayList<>();
        int sizeBytes = 0;
        for (ClaimMessage.ClaimRecordValue record : records) {
            int size = SegmentCodec.encode(HandoverInbox.record(record)).length();
            if (!part.isEmpty() && sizeBytes + size > limitBytes) {
                parts.add(part);
                part = new ArrayList<>();
                sizeBytes = 0;
            }
            part.add(record);
            sizeBytes += size;
        }
        parts.add(part);
        return parts;
    }
}
