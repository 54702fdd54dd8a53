package org.snipeslip.core.discovery;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.ServiceId;

/**
 * A backend server as it registered itself.
 *
 * @param id its name
 * @param service the service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain where it stands
 * @param slots calls it can work on at once
 * @param draining whether it asks for no new work
 * @param warmUpLeftNanos how much longer it stays cold; 0 if it is warm
 * @param incarnation distinguishes its starts; 0 if unknown
 */
public record DiscoveredServer(
        BackendServerId id,
        ServiceId service,
        String host,
        int port,
        FailureDomainId failureDomain,
        int slots,
        boolean draining,
        long warmUpLeftNanos,
        long incarnation) {}
