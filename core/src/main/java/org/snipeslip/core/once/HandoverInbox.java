package org.snipeslip.core.once;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * The records offered by the owner of one epoch. Complete only with every part, in any order. Holds
 * at most as many records as a partition; what exceeds it leaves the handover incomplete.
 */
final class HandoverInbox {
    private final int limit;
    private final Map<String, ClaimRecord> records = new HashMap<>();
    private final BitSet received = new BitSet();
    private InstanceId from;
    private long epoch;
    private int parts;

    HandoverInbox(OnceSettings settings) {
        this.limit = settings.maxRecords();
    }

    void add(InstanceId sender, ClaimMessage.OwnershipHandover message) {
        boolean same = sender.equals(from) && message.epoch() == epoch && message.parts() == parts;
        if (!same) {
            if (from != null && message.epoch() < epoch) {
                return;
            }
            clear();
            from = sender;
            epoch = message.epoch();
            parts = message.parts();
        }
        boolean valid = message.part() >= 0 && message.part() < parts;
        if (!valid || records.size() + message.records().size() > limit) {
            return;
        }
        received.set(message.part());
        message.records().forEach(value -> records.put(value.keyDigest(), record(value)));
    }

    boolean isCompleteFor(Ownership ownership) {
        return ownership.owner().equals(from)
                && ownership.epoch() == epoch
                && parts > 0
                && received.cardinality() == parts;
    }

    boolean isEmpty() {
        return from == null;
    }

    Map<String, ClaimRecord> records() {
        return Map.copyOf(records);
    }

    void clear() {
        from = null;
        epoch = 0;
        parts = 0;
        records.clear();
        received.clear();
    }

    static ClaimRecord record(ClaimMessage.ClaimRecordValue value) {
        return new ClaimRecord(
                value.keyDigest(),
                value.fingerprint(),
                new Grantee(value.grantee(), value.incarnation(), value.claim()),
                value.state(),
                value.answer());
    }
}
