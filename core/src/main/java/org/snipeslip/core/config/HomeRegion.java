package org.snipeslip.core.config;

import org.snipeslip.core.id.RegionId;

/**
 * A region that routes and organisations may be bound to.
 *
 * @param id the name
 * @param hostsObjectApi whether the platform's object API stands in this region
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
