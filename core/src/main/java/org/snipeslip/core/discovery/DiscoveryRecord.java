package org.snipeslip.core.discovery;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.rollout.RolloutEntry;

/** The decoded content of one object of the store. */
public sealed interface DiscoveryRecord {
    /**
     * A configuration.
     *
     * @param config routes, services and limits
     */
    record Config(DiscoveredConfig config) implements DiscoveryRecord {}

    /**
     * A registered backend server.
     *
     * @param server its registration
     */
    record Server(DiscoveredServer server) implements DiscoveryRecord {}

    /**
     * An evacuation that is in force.
     *
     * @param failureDomain the failure domain whose servers receive no calls
     */
    record Evacuation(FailureDomainId failureDomain) implements DiscoveryRecord {}

    /**
     * An instance that has started.
     *
     * @param instance name of the instance
     * @param region region of the instance, or empty if the entry does not say
     * @param peerAddress address at which other instances ask it for changes, or empty
     */
    record Instance(InstanceId instance, String region, String peerAddress)
            implements DiscoveryRecord {}

    /**
     * An order to move a service to another version.
     *
     * @param entry the order and what was decided about it
     */
    record Rollout(RolloutEntry entry) implements DiscoveryRecord {}

    /**
     * An object that cannot be decoded; it is ignored.
     *
     * @param reason description of the defect
     */
    record Malformed(String reason) implements DiscoveryRecord {}
}
