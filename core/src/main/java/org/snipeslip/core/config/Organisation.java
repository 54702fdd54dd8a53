package org.snipeslip.core.config;

import java.util.OptionalInt;
import java.util.Set;
import org.snipeslip.core.id.ApiKeyDigest;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;

/**
 * A customer. Capacity is divided fairly between organisations.
 *
 * @param id name of the organisation
 * @param homeRegions the only regions in which its calls may be served; empty for any
 * @param weight its share of the capacity relative to other organisations, at least 1
 * @param rank precedence of its calls, which replaces that of their routes; 0 is served first;
 *     empty if the routes decide
 * @param keys digests of the API keys that identify its callers; empty if callers are not
 *     identified by keys
 * @param quota limit on its calls
 */
public record Organisation(
        OrganisationId id,
        Set<RegionId> homeRegions,
        int weight,
        OptionalInt rank,
        Set<ApiKeyDigest> keys,
        CallQuota quota)
        implements ConfigObject {
    /** Copies the sets. */
    public Organisation {
        homeRegions = Set.copyOf(homeRegions);
        keys = Set.copyOf(keys);
    }

    /**
     * Creates an organisation without keys, quota and rank of its own.
     *
     * @param id name of the organisation
     * @param homeRegions the only regions in which its calls may be served; empty for any
     * @param weight its share of the capacity relative to other organisations, at least 1
     */
    public Organisation(OrganisationId id, Set<RegionId> homeRegions, int weight) {
        this(id, homeRegions, weight, OptionalInt.empty(), Set.of(), CallQuota.UNLIMITED);
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
