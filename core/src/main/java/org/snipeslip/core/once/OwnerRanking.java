package org.snipeslip.core.once;

import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * Chooses the owner of each partition by rendezvous hashing (highest random weight), so that a
 * change of one member moves only that member's partitions.
 */
final class OwnerRanking {
    private final Map<PartitionId, InstanceId> firstByPartition = new HashMap<>();
    private final Map<InstanceId, MemberUpdate> members = new HashMap<>();
    private boolean known;
    private InstanceId excluded;

    void update(MemberView view) {
        known = true;
        firstByPartition.clear();
        members.clear();
        view.members().forEach(member -> members.put(member.id(), member));
    }

    /** Ranks an instance no more, whatever the views say. */
    void exclude(InstanceId id) {
        excluded = id;
        firstByPartition.clear();
    }

    boolean isKnown() {
        return known;
    }

    /** The first living member by weight, or null if the group has none. */
    InstanceId first(PartitionId partition) {
        return firstByPartition.computeIfAbsent(partition, this::rank);
    }

    MemberUpdate member(InstanceId id) {
        return members.get(id);
    }

    boolean holds(InstanceId id, long incarnation) {
        MemberUpdate member = members.get(id);
        return member != null
                && member.status() != MemberStatus.DEAD
                && member.incarnation() == incarnation;
    }

    private InstanceId rank(PartitionId partition) {
        InstanceId best = null;
        long bestWeight = 0;
        String number = Integer.toString(partition.number());
        for (MemberUpdate member : members.values()) {
            if (member.status() != MemberStatus.ALIVE
                    || member.id().equals(excluded)
                    || !partition.group().allows(member.region())) {
                continue;
            }
            String id = member.id().value();
            long weight = KeyDigest.weight(partition.group().value(), number, id);
            if (best == null
                    || weight > bestWeight
                    || weight == bestWeight && id.compareTo(best.value()) < 0) {
                best = member.id();
                bestWeight = weight;
            }
        }
        return best;
    }
}
