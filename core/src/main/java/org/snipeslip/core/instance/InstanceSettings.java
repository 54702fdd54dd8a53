package org.snipeslip.core.instance;

import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.peer.PeerAddress;

/**
 * Settings of the state machine of one instance with peers.
 *
 * @param id name of the instance
 * @param failureDomain the failure domain that it runs in
 * @param region the region of that failure domain
 * @param peerAddress address at which peers reach it
 * @param incarnation number that increases with each start of the process
 * @param call settings of calls
 * @param control settings of membership and configuration
 * @param idempotency settings of at-most-once claims
 * @param stop settings of the planned stop
 */
public record InstanceSettings(
        InstanceId id,
        FailureDomainId failureDomain,
        RegionId region,
        PeerAddress peerAddress,
        long incarnation,
        CallSettings call,
        ControlSettings control,
        IdempotencySettings idempotency,
        StopSettings stop) {}
