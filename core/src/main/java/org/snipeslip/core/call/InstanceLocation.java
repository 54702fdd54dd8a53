package org.snipeslip.core.call;

import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.load.Distance;

/**
 * Location of this instance.
 *
 * @param failureDomain its failure domain, or null if unknown
 */
record InstanceLocation(RegionId region, FailureDomainId failureDomain) {
    Distance distanceTo(FailureDomain domain) {
        if (domain.id().equals(failureDomain)) {
            return Distance.OWN_FAILURE_DOMAIN;
        }
        return domain.region().equals(region) ? Distance.OWN_REGION : Distance.OTHER_REGION;
    }
}
