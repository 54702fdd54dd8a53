package org.snipeslip.core.idempotency;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * Collects the records that the previous owner hands over. The parts may arrive in any order, and
 * the handover is complete when every part has arrived. At most {@link
 * IdempotencySettings#maxRecords()} records are kept; if there are more, the handover stays
 * incomplete.
 */
final class HandoverReceiver {
    private final int maxRecords;
    private final Map<String, ClaimRecord> records = new HashMap<>();
    private final BitSet receivedParts = new BitSet();
    private InstanceId sender;
    private long epoch;
    private int partCount;

    HandoverReceiver(IdempotencySettings settings) {
        this.maxRecords = settings.maxRecords();
    }

    void add(InstanceId from, ClaimMessage.OwnershipHandover message) {
        boolean sameHandover =
                from.equals(sender) && message.epoch() == epoch && message.parts() == partCount;
        if (!sameHandover) {
            if (sender != null && message.epoch() < epoch) {
                return;
            }
            clear();
            sender = from;
            epoch = message.epoch();
            partCount = message.parts();
        }
        boolean valid = message.part() >= 0 && message.part() < partCount;
        if (!valid || records.size() + message.records().size() > maxRecords) {
            return;
        }
        receivedParts.set(message.part());
        message.records().forEach(value -> records.put(value.keyDigest(), record(value)));
    }

    boolean isCompleteFor(Ownership ownership) {
        return ownership.owner().equals(sender)
                && ownership.epoch() == epoch
                && partCount > 0
                && receivedParts.cardinality() == partCount;
    }

    boolean isEmpty() {
        return sender == null;
    }

    Map<String, ClaimRecord> records() {
        return Map.copyOf(records);
    }

    void clear() {
        sender = null;
        epoch = 0;
        partCount = 0;
        records.clear();
        receivedParts.clear();
    }

    static ClaimRecord record(ClaimMessage.ClaimRecordValue value) {
        return new ClaimRecord(
                value.keyDigest(),
                value.fingerprint(),
                new ClaimId(value.grantee(), value.incarnation(), value.claim()),
                value.state(),
                value.answer());
    }
}
