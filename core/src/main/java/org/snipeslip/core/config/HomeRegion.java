package org.snipeslip.core.config;

import org.snipeslip.core.id.RegionId;

/**
 * A region to which routes and organisations may be restricted.
 *
 * @param id name of the region
 * @param hostsObjectApi whether the object API of the platform runs in this region
 */
public record HomeRegion(RegionId id, boolean hostsObjectApi) implements ConfigObject {
    @Override
    public ObjectKind kind() {
        return ObjectKind.HOME_REGION;
    }

    @Override
    public String name() {
        return id.value();
    }
}
