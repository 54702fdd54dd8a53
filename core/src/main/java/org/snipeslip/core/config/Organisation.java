package org.snipeslip.core.config;

import java.util.Set;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;

/**
 * A customer. Capacity is divided fairly between organisations.
 *
 * @param id name of the organisation
 * @param homeRegions the only regions in which its calls may be served; empty for any
 * @param weight its share of the capacity relative to other organisations, at least 1
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
