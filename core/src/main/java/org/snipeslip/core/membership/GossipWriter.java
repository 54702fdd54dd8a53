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
 * Chooses the member updates of a message: first the sender itself, then the receiver if it is
 * suspected or dead, so that it can refute this, then recent changes, then a few random members, so
 * that member tables that differ converge.
 */
final class GossipWriter {
    /** Maximum number of member updates in a message. */
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
     * Creates the gossip of one message.
     *
     * @param self the sender
     * @param receiver the receiver, or null if only its address is known
     * @param fill whether to fill the message up to the maximum with random members, for a receiver
     *     that may know few members
     */
    Gossip write(MemberUpdate self, InstanceId receiver, boolean fill) {
        List<MemberUpdate> updates = new ArrayList<>(UPDATES_PER_MESSAGE);
        updates.add(self);
        MemberUpdate known = receiver == null ? null : table.get(receiver);
        if (known != null && known.status().compareTo(MemberStatus.SUSPECT) >= 0) {
            updates.add(known);
        }
        queue.appendNewest(updates, UPDATES_PER_MESSAGE - updates.size(), table.size() + 1);
        int remaining = UPDATES_PER_MESSAGE - updates.size();
        addRandom(updates, fill ? remaining : Math.min(RANDOM_PER_MESSAGE, remaining));
        return new Gossip(generation.get(), updates);
    }

    private void addRandom(List<MemberUpdate> updates, int count) {
        if (count == 0) {
            return;
        }
        List<MemberUpdate> members = table.select(s -> s != MemberStatus.DEAD);
        for (int i = 0; i < count && !members.isEmpty(); i++) {
            int index = random.nextInt(members.size());
            MemberUpdate member = members.get(index);
            members.set(index, members.getLast());
            members.removeLast();
            if (!updates.contains(member)) {
                updates.add(member);
            }
        }
    }
}
