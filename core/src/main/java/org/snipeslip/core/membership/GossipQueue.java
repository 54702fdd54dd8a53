package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * Member updates still to be passed on: one per member, the newest change first, each a bounded
 * number of times.
 */
final class GossipQueue {
    /** SWIM needs a small multiple of log(n) transmissions to reach every member. */
    private static final int TRANSMISSIONS_PER_LOG = 4;

    private final SequencedMap<InstanceId, Pending> pending = new LinkedHashMap<>();

    void add(MemberUpdate update) {
        pending.remove(update.id());
        pending.putLast(update.id(), new Pending(update));
    }

    /** Appends at most {@code count} updates and charges a transmission for each. */
    void take(List<MemberUpdate> into, int count, int members) {
        int limit = transmissions(members);
        List<InstanceId> done = new ArrayList<>();
        Iterator<Pending> newestFirst = pending.sequencedValues().reversed().iterator();
        for (int taken = 0; taken < count && newestFirst.hasNext(); taken++) {
            Pending next = newestFirst.next();
            into.add(next.update);
            if (++next.sent >= limit) {
                done.add(next.update.id());
            }
        }
        done.forEach(pending::remove);
    }

    static int transmissions(int members) {
        return TRANSMISSIONS_PER_LOG * Math.max(1, (int) Math.ceil(Math.log10(members + 1)));
    }

    int size() {
        return pending.size();
    }

    /** An update and the number of its transmissions. */
    private static final class Pending {
        private final MemberUpdate update;
        private int sent;

        Pending(MemberUpdate update) {
            this.update = update;
        }
    }
}
