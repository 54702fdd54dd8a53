package org.snipeslip.core.config;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;

/**
 * A set of machines that fail or are taken out of service together.
 *
 * @param id name of the failure domain
 * @param region the region that it belongs to
 * @param inService false while operators have taken it out of service; its servers then receive no
 *     new calls
 */
public record FailureDomain(FailureDomainId id, RegionId region, boolean inService)
        implements ConfigObject {
    @Override
    public ObjectKind kind() {
        return ObjectKind.FAILURE_DOMAIN;
    }

    @Override
    public String name() {
        return id.value();
    }

    /**
     * Returns a copy that is in or out of service.
     *
     * @param newInService whether the servers of the copy receive new calls
     * @return the copy
     */
    public FailureDomain withInService(boolean newInService) {
        return new FailureDomain(id, region, newInService);
    }
}
