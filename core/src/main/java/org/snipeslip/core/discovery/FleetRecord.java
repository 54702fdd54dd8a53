package org.snipeslip.core.discovery;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;

/** What one stored object says. */
public sealed interface FleetRecord {
    /**
     * A configuration.
     *
     * @param config the configuration
     */
    record Config(FleetConfig config) implements FleetRecord {}

    /**
     * A backend server.
     *
     * @param server the server
     */
    record Server(DiscoveredServer server) implements FleetRecord {}

    /**
     * An evacuation that is in force.
     *
     * @param failureDomain the failure domain whose servers get no work
     */
    record Evacuation(FailureDomainId failureDomain) implements FleetRecord {}

    /**
     * An instance that has started.
     *
     * @param instance its name
     */
    record Instance(InstanceId instance) implements FleetRecord {}

    /**
     * An object that cannot be read; it stands for nothing.
     *
     * @param reason what is wrong with it
     */
    record Malformed(String reason) implements FleetRecord {}
}
