package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * Member updates that are still to be gossiped: at most one per member, the newest change first,
 * each sent a bounded number of times.
 */
final class GossipQueue {
    /** SWIM needs a small multiple of log(n) transmissions of an update to reach every member. */
    private static final int TRANSMISSIONS_PER_LOG = 4;

    private final SequencedMap<InstanceId, Pending> pending = new LinkedHashMap<>();

    void add(MemberUpdate update) {
        pending.remove(update.id());
        pending.putLast(update.id(), new Pending(update));
    }

    /**
     * Appends at most {@code count} updates and counts a transmission of each. An update that has
     * reached its limit of transmissions is removed from the queue.
     */
    void appendNewest(List<MemberUpdate> target, int count, int memberCount) {
        int limit = maxTransmissions(memberCount);
        List<InstanceId> exhausted = new ArrayList<>();
        Iterator<Pending> newestFirst = pending.sequencedValues().reversed().iterator();
        for (int appended = 0; appended < count && newestFirst.hasNext(); appended++) {
            Pending next = newestFirst.next();
            target.add(next.update);
            if (++next.transmissions >= limit) {
                exhausted.add(next.update.id());
            }
        }
        exhausted.forEach(pending::remove);
    }

    static int maxTransmissions(int memberCount) {
        return TRANSMISSIONS_PER_LOG * Math.max(1, (int) Math.ceil(Math.log10(memberCount + 1)));
    }

    int size() {
        return pending.size();
    }

    /** An update and the number of its transmissions. */
    private static final class Pending {
        private final MemberUpdate update;
        private int transmissions;

        Pending(MemberUpdate update) {
            this.update = update;
        }
    }
}
