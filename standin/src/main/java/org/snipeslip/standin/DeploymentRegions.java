package org.snipeslip.standin;

import java.util.List;

/** Regions of a deployment of stand-ins; failure domains are spread over them in turn. */
public final class DeploymentRegions {
    /** Names of the regions; the first hosts the object API. */
    public static final List<String> ALL = List.of("fleuve", "cap-vert", "casamance");

    private DeploymentRegions() {}

    /**
     * Returns the region of a failure domain.
     *
     * @param failureDomain number of the failure domain
     * @return name of its region
     */
    public static String regionOf(int failureDomain) {
        return ALL.get(failureDomain % ALL.size());
    }
}
