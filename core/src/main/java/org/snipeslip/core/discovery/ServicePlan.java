package org.snipeslip.core.discovery;

import org.snipeslip.core.id.ServiceId;

/**
 * What the configuration says of a service whose servers are discovered.
 *
 * @param id the name
 * @param healthPath path that answers with the health of a server
 * @param connectionLimit connections that all instances together may hold to a server
 * @param warmUpNanos how long a server stays cold after its start
 * @param warmUpCallsPerSecond calls a second that a cold server bears
 */
public record ServicePlan(
        ServiceId id,
        String healthPath,
        int connectionLimit,
        long warmUpNanos,
        double warmUpCallsPerSecond) {}
