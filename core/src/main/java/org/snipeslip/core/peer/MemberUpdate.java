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
        MemberStatus status) {}
