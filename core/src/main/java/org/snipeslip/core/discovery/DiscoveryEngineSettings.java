package org.snipeslip.core.discovery;

import java.util.Map;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.rollout.RolloutSettings;

/**
 * Settings of an instance whose backend servers are discovered.
 *
 * @param instance name of this instance
 * @param regions the region of each failure domain
 * @param watch settings of the lists and watches of the store
 * @param warmUpFactor factor of the call limit of a cold server, applied to the rate that its
 *     service configures for cold servers
 * @param warmUpSlack constant part of that limit, in calls per second
 * @param assumedInstances number of instances assumed until their list has been read
 * @param peers settings of asking other instances for changes, or null to ask only the store
 * @param maxProofAgeMillis greatest age of a {@link ConfigProof} that is of use, or 0 if none is
 *     needed
 * @param rollout settings of rollouts, or null if none are followed
 */
public record DiscoveryEngineSettings(
        InstanceId instance,
        Map<FailureDomainId, RegionId> regions,
        WatchSettings watch,
        double warmUpFactor,
        double warmUpSlack,
        int assumedInstances,
        PeerSettings peers,
        long maxProofAgeMillis,
        RolloutSettings rollout) {
    /** Copies the map. */
    public DiscoveryEngineSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Creates the settings of an instance that needs no proof of its configuration and follows no
     * rollouts.
     *
     * @param instance name of this instance
     * @param regions the region of each failure domain
     * @param watch settings of the lists and watches of the store
     * @param warmUpFactor factor of the call limit of a cold server
     * @param warmUpSlack constant part of that limit, in calls per second
     * @param assumedInstances number of instances assumed until their list has been read
     * @param peers settings of asking other instances for changes, or null to ask only the store
     */
    public DiscoveryEngineSettings(
            InstanceId instance,
            Map<FailureDomainId, RegionId> regions,
            WatchSettings watch,
            double warmUpFactor,
            double warmUpSlack,
            int assumedInstances,
            PeerSettings peers) {
        this(instance, regions, watch, warmUpFactor, warmUpSlack, assumedInstances, peers, 0, null);
    }

    /**
     * Creates the settings of an instance that asks only the store.
     *
     * @param instance name of this instance
     * @param regions the region of each failure domain
     * @param watch settings of the lists and watches of the store
     * @param warmUpFactor factor of the call limit of a cold server
     * @param warmUpSlack constant part of that limit, in calls per second
     * @param assumedInstances number of instances assumed until their list has been read
     */
    public DiscoveryEngineSettings(
            InstanceId instance,
            Map<FailureDomainId, RegionId> regions,
            WatchSettings watch,
            double warmUpFactor,
            double warmUpSlack,
            int assumedInstances) {
        this(instance, regions, watch, warmUpFactor, warmUpSlack, assumedInstances, null);
    }

    /**
     * Returns these settings for an instance that asks only the store.
     *
     * @return a copy without settings of peers and rollouts
     */
    public DiscoveryEngineSettings withoutPeers() {
        return new DiscoveryEngineSettings(
                instance,
                regions,
                watch,
                warmUpFactor,
                warmUpSlack,
                assumedInstances,
                null,
                maxProofAgeMillis,
                null);
    }
}
