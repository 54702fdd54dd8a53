package org.snipeslip.core.membership;

import java.util.List;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * The members known to one instance, itself included.
 *
 * @param members the members that are not known to be dead, ordered by id
 */
public record MemberView(List<MemberUpdate> members) {
    /** Copies the list. */
    public MemberView {
        members = List.copyOf(members);
    }
}
