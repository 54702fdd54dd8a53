package org.snipeslip.core.config;

import java.util.Set;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;

/**
 * A customer whose calls share one fair part of the capacity.
 *
 * @param id the name
 * @param homeRegions the only regions its calls may be served in; empty for any
 * @param weight its share relative to other organisations, at least 1
 */
public record Organisation(OrganisationId id, Set<RegionId> homeRegions, int weight)
        implements ConfigObject {
    /** Copies the set. */
    public Organisation {
        homeRegions = Set.copyOf(homeRegions);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.ORGANISATION;
    }

    @Override
    public String name() {
        return id.value();
    }
}
