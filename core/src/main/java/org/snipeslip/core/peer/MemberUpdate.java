package org.snipeslip.core.peer;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;

/**
 * The state of one member, as known to the instance that sends or stores it.
 *
 * @param id id of the member
 * @param address where the member listens for its peers
 * @param failureDomain failure domain in which the member runs
 * @param region region of that failure domain
 * @param incarnation number that grows when the member restarts, leaves or refutes a suspicion
 * @param status status at that incarnation
 */
public record MemberUpdate(
        InstanceId id,
        PeerAddress address,
        FailureDomainId failureDomain,
        RegionId region,
        long incarnation,
        MemberStatus status) {
    /**
     * Returns a copy with another status at the same incarnation.
     *
     * @param newStatus the status of the copy
     * @return the copy
     */
    public MemberUpdate withStatus(MemberStatus newStatus) {
        return new MemberUpdate(id, address, failureDomain, region, incarnation, newStatus);
    }

    /**
     * Returns a copy with another incarnation and the same status.
     *
     * @param newIncarnation the incarnation of the copy
     * @return the copy
     */
    public MemberUpdate withIncarnation(long newIncarnation) {
        return new MemberUpdate(id, address, failureDomain, region, newIncarnation, status);
    }
}
