package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.MembershipMessage.Gossip;

/**
 * Chooses the updates of a message: the sender's own first, then a suspicion of the receiver, then
 * news, then a few random members so that tables that differ become equal.
 */
final class GossipWriter {
    /** Bound on the updates of a message. */
    static final int UPDATES_PER_MESSAGE = 16;

    private static final int RANDOM_PER_MESSAGE = 2;

    private final MemberTable table;
    private final Supplier<Generation> generation;
    private final RandomGenerator random;
    private final GossipQueue queue = new GossipQueue();

    GossipWriter(MemberTable table, Supplier<Generation> generation, RandomGenerator random) {
        this.table = table;
        this.generation = generation;
        this.random = random;
    }

    void add(MemberUpdate update) {
        queue.add(update);
    }

    /**
     * Writes the gossip of one message.
     *
     * @param self the sender
     * @param to the receiver, or null if only its address is known
     * @param full whether to fill the message with random members, for a receiver that knows few
     */
    Gossip write(MemberUpdate self, InstanceId to, boolean full) {
        List<MemberUpdate> updates = new ArrayList<>(UPDATES_PER_MESSAGE);
        updates.add(self);
        MemberUpdate receiver = to == null ? null : table.get(to);
        if (receiver != null && receiver.status().compareTo(MemberStatus.SUSPECT) >= 0) {
            updates.add(receiver);
        }
        queue.take(updates, UPDATES_PER_MESSAGE - updates.size(), table.size() + 1);
        int room = UPDATES_PER_MESSAGE - updates.size();
        addRandom(updates, full ? room : Math.min(RANDOM_PER_MESSAGE, room));
        return new Gossip(generation.get(), updates);
    }

    private void addRandom(List<MemberUpdate> updates, int count) {
        if (count == 0) {
            return;
        }
        List<MemberUpdate> members = table.select(s -> s != MemberStatus.DEAD);
        for (int i = 0; i < count && !members.isEmpty(); i++) {
            int chosen = random.nextInt(members.size());
            MemberUpdate member = members.get(chosen);
            members.set(chosen, members.getLast());
            members.removeLast();
            if (!updates.contains(member)) {
                updates.add(member);
            }
        }
    }
}
