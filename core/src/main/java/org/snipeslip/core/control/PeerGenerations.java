package org.snipeslip.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/** The members, and the newest generation that each reported to have in force. */
final class PeerGenerations {
    private final InstanceId ownId;
    private final Map<InstanceId, Generation> generations = new HashMap<>();
    private MemberView view = new MemberView(List.of());

    PeerGenerations(InstanceId ownId) {
        this.ownId = ownId;
    }

    void membersChanged(MemberView newView) {
        view = newView;
        Set<InstanceId> ids = new HashSet<>();
        newView.members().forEach(member -> ids.add(member.id()));
        generations.keySet().retainAll(ids);
    }

    MemberView view() {
        return view;
    }

    /** Records the generation of a sender and returns true, unless the sender is not a member. */
    boolean updateGeneration(InstanceId from, Generation generation) {
        if (member(from) == null) {
            return false;
        }
        generations.merge(from, generation, (a, b) -> a.isNewerThan(b) ? a : b);
        return true;
    }

    /** Returns a member, or null if it is unknown or this instance. */
    MemberUpdate member(InstanceId id) {
        if (id.equals(ownId)) {
            return null;
        }
        for (MemberUpdate member : view.members()) {
            if (member.id().equals(id)) {
                return member;
            }
        }
        return null;
    }

    Generation generationOf(InstanceId id) {
        return generations.getOrDefault(id, Generation.NONE);
    }

    /**
     * Returns the other members that reported the given generation or a newer one, without those
     * that are suspected of a failure.
     */
    List<MemberUpdate> membersWith(Generation generation) {
        List<MemberUpdate> selected = new ArrayList<>();
        for (MemberUpdate member : view.members()) {
            if (!member.id().equals(ownId)
                    && member.status() != MemberStatus.SUSPECT
                    && !generation.isNewerThan(generationOf(member.id()))) {
                selected.add(member);
            }
        }
        return selected;
    }
}
