package org.snipeslip.core.discovery;

import org.snipeslip.core.id.ServiceId;

/**
 * Configuration of a service whose servers are discovered.
 *
 * @param id name of the service
 * @param healthPath path of the health endpoint of its servers
 * @param connectionLimit maximum number of connections of all instances together to one server
 * @param warmUpNanos duration of the warm-up of a server after its start
 * @param warmUpCallsPerSecond rate of calls that a cold server can process
 */
public record ServiceConfig(
        ServiceId id,
        String healthPath,
        int connectionLimit,
        long warmUpNanos,
        double warmUpCallsPerSecond) {}
