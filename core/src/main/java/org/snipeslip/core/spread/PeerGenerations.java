package org.snipeslip.core.spread;

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

/** The members and the newest generation heard from each. */
final class PeerGenerations {
    private final InstanceId self;
    private final Map<InstanceId, Generation> heard = new HashMap<>();
    private MemberView view = new MemberView(List.of());

    PeerGenerations(InstanceId self) {
        this.self = self;
    }

    void membersChanged(MemberView newView) {
        view = newView;
        Set<InstanceId> ids = new HashSet<>();
        newView.members().forEach(member -> ids.add(member.id()));
        heard.keySet().retainAll(ids);
    }

    MemberView view() {
        return view;
    }

    /** Notes a generation; tells whether the sender is a member. */
    boolean note(InstanceId from, Generation generation) {
        if (member(from) == null) {
            return false;
        }
        heard.merge(from, generation, (a, b) -> a.isNewerThan(b) ? a : b);
        return true;
    }

    /** Returns a member other than this instance, or null. */
    MemberUpdate member(InstanceId id) {
        if (id.equals(self)) {
            return null;
        }
        for (MemberUpdate member : view.members()) {
            if (member.id().equals(id)) {
                return member;
            }
        }
        return null;
    }

    Generation of(InstanceId id) {
        return heard.getOrDefault(id, Generation.NONE);
    }

    /** Returns the members, this instance excluded, that have at least a generation. */
    List<MemberUpdate> having(Generation generation) {
        List<MemberUpdate> having = new ArrayList<>();
        for (MemberUpdate member : view.members()) {
            if (!member.id().equals(self)
                    && member.status() != MemberStatus.SUSPECT
                    && !generation.isNewerThan(of(member.id()))) {
                having.add(member);
            }
        }
        return having;
    }
}
