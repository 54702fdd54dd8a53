package org.snipeslip.core.config;

import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;

/**
 * A set of machines that fail or are taken out of service together.
 *
 * @param id the name
 * @param region the region it stands in
 * @param inService false while operators have taken it out; it then gets no new work
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
     * Returns the same failure domain in or out of service.
     *
     * @param newInService whether it gets new work
     * @return the changed object
     */
    public FailureDomain withInService(boolean newInService) {
        return new FailureDomain(id, region, newInService);
    }
}
