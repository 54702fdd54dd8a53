package org.snipeslip.core.peer;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;

/**
 * What one instance says of another.
 *
 * @param id the instance
 * @param address its peer port
 * @param failureDomain where it stands
 * @param region the region of that failure domain
 * @param incarnation grows when the instance restarts or refutes a suspicion
 * @param status its status at that incarnation
 */
public record MemberUpdate(
        InstanceId id,
        PeerAddress address,
        FailureDomainId failureDomain,
        RegionId region,
        long incarnation,
        MemberStatus status) {
    /**
     * Returns the same member with another status at the same incarnation.
     *
     * @param newStatus the status
     * @return the update
     */
    public MemberUpdate withStatus(MemberStatus newStatus) {
        return new MemberUpdate(id, address, failureDomain, region, incarnation, newStatus);
    }

    /**
     * Returns the same member at another incarnation.
     *
     * @param newIncarnation the incarnation
     * @return the update
     */
    public MemberUpdate at(long newIncarnation) {
        return new MemberUpdate(id, address, failureDomain, region, newIncarnation, status);
    }
}
