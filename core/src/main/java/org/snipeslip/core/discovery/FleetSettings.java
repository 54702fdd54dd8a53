package org.snipeslip.core.discovery;

import java.util.Map;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;

/**
 * Settings of an instance whose backend servers are discovered.
 *
 * @param instance its name
 * @param regions the region of each failure domain
 * @param follow how the store is followed
 * @param warmUpFactor part of the bound on calls to a cold server, relative to what it bears
 * @param warmUpSlack part of that bound that does not depend on the server, calls a second
 * @param assumedInstances instances that are assumed until the list of them was read
 */
public record FleetSettings(
        InstanceId instance,
        Map<FailureDomainId, RegionId> regions,
        FollowSettings follow,
        double warmUpFactor,
        double warmUpSlack,
        int assumedInstances) {
    /** Copies the map. */
    public FleetSettings {
        regions = Map.copyOf(regions);
    }
}
