package org.snipeslip.core.store;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;

/**
 * An entry in the platform's list of instances.
 *
 * @param id the instance
 * @param host IP address of its peer port
 * @param peerPort TCP port for peers
 * @param failureDomain failure domain in which it runs
 * @param leaving true if the platform is stopping it
 */
public record ListedInstance(
        InstanceId id, String host, int peerPort, FailureDomainId failureDomain, boolean leaving) {}
