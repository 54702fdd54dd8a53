package org.snipeslip.core.discovery;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;

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
     */
    record Instance(InstanceId instance) implements DiscoveryRecord {}

    /**
     * An object that cannot be decoded; it is ignored.
     *
     * @param reason description of the defect
     */
    record Malformed(String reason) implements DiscoveryRecord {}
}
