package org.snipeslip.core.idempotency;

import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * Selects the preferred owner of each partition by rendezvous hashing (highest random weight). When
 * a member joins or leaves, only the partitions of that member move.
 */
final class OwnerRanking {
    private final Map<PartitionId, InstanceId> ownerByPartition = new HashMap<>();
    private final Map<InstanceId, MemberUpdate> members = new HashMap<>();
    private boolean hasView;
    private InstanceId excluded;

    void update(MemberView view) {
        hasView = true;
        ownerByPartition.clear();
        members.clear();
        view.members().forEach(member -> members.put(member.id(), member));
    }

    /** Never selects an instance again, whatever later views contain. */
    void exclude(InstanceId id) {
        excluded = id;
        ownerByPartition.clear();
    }

    boolean hasView() {
        return hasView;
    }

    /** Returns the alive member with the highest weight, or null if the group has none. */
    InstanceId preferredOwner(PartitionId partition) {
        return ownerByPartition.computeIfAbsent(partition, this::selectOwner);
    }

    MemberUpdate member(InstanceId id) {
        return members.get(id);
    }

    /** Returns whether this incarnation of an instance is a member that is not dead. */
    boolean isLive(InstanceId id, long incarnation) {
        MemberUpdate member = members.get(id);
        return member != null
                && member.status() != MemberStatus.DEAD
                && member.incarnation() == incarnation;
    }

    private InstanceId selectOwner(PartitionId partition) {
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
            long weight = KeyDigest.rendezvousWeight(partition.group().value(), number, id);
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
