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
 */
public record BackendServer(
        BackendServerId id,
        String host,
        int port,
        FailureDomainId failureDomain,
        int slots,
        int connectionLimit,
        boolean draining) {}
