package org.snipeslip.core.membership;

import java.util.List;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * What one instance knows of all instances, itself included.
 *
 * @param members the members that are not known to be dead, in order of their ids
 */
public record MemberView(List<MemberUpdate> members) {
    /** Copies the list. */
    public MemberView {
        members = List.copyOf(members);
    }
}
