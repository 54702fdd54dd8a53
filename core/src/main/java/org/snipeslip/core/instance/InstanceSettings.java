package org.snipeslip.core.instance;

import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.once.OnceSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.spread.ControlSettings;

/**
 * Settings of the state machine of one instance.
 *
 * @param id name of the instance
 * @param failureDomain where it stands
 * @param region the region of that failure domain
 * @param peerAddress where peers reach it
 * @param incarnation grows with each start of the process
 * @param call settings of calls
 * @param control settings of membership and configuration
 * @param once settings of at-most-once claims
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
        OnceSettings once,
        StopSettings stop) {}
