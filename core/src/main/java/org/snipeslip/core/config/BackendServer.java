package org.snipeslip.core.config;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/**
 * One backend server of a service.
 *
 * @param id the name within its service
 * @param host IP address
 * @param port TCP port
 * @param failureDomain where it stands
 * @param slots calls it can work on at once
 * @param connectionLimit connections that all instances together may hold to it
 * @param draining true while it must get no new work
 * @param incarnation distinguishes the starts of a server that keeps its name; 0 if unknown
 * @param warmUp how much it bears while it is cold
 */
public record BackendServer(
        BackendServerId id,
        String host,
        int port,
        FailureDomainId failureDomain,
        int slots,
        int connectionLimit,
        boolean draining,
        long incarnation,
        WarmUpPlan warmUp) {
    /**
     * Creates a server that is not known to be cold.
     *
     * @param id the name within its service
     * @param host IP address
     * @param port TCP port
     * @param failureDomain where it stands
     * @param slots calls it can work on at once
     * @param connectionLimit connections that all instances together may hold to it
     * @param draining true while it must get no new work
     */
    public BackendServer(
            BackendServerId id,
            String host,
            int port,
            FailureDomainId failureDomain,
            int slots,
            int connectionLimit,
            boolean draining) {
        this(id, host, port, failureDomain, slots, connectionLimit, draining, 0, WarmUpPlan.NONE);
    }
}
