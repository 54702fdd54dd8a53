package org.snipeslip.core.call;

import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.load.Distance;

/**
 * Where this instance stands.
 *
 * @param region its region
 * @param failureDomain its failure domain, or null if unknown
 */
record InstancePlace(RegionId region, FailureDomainId failureDomain) {
    Distance distanceTo(FailureDomain domain) {
        if (domain.id().equals(failureDomain)) {
            return Distance.OWN_FAILURE_DOMAIN;
        }
        return domain.region().equals(region) ? Distance.OWN_REGION : Distance.OTHER_REGION;
    }
}
