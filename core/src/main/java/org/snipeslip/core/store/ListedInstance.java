package org.snipeslip.core.store;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;

/**
 * An entry of the platform's instance list.
 *
 * @param id the instance
 * @param host IP address of its peer port
 * @param peerPort TCP port for peers
 * @param failureDomain where it stands
 * @param leaving whether the platform is stopping it
 */
public record ListedInstance(
        InstanceId id, String host, int peerPort, FailureDomainId failureDomain, boolean leaving) {}
