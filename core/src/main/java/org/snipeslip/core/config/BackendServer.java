package org.snipeslip.core.config;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.ServerVersion;

/**
 * One backend server of a service.
 *
 * @param id name, unique within its service
 * @param host IP address
 * @param port TCP port
 * @param failureDomain the failure domain that it runs in
 * @param slots number of calls that it can process concurrently
 * @param connectionLimit maximum number of connections of all instances together to it
 * @param draining true while it must receive no new calls
 * @param incarnation distinguishes the starts of a server that keeps its name; 0 if unknown
 * @param warmUp call limit while it is cold
 * @param version version of its software, or null if unknown
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
        WarmUpPlan warmUp,
        ServerVersion version) {
    /**
     * Creates a server of an unknown version.
     *
     * @param id name, unique within its service
     * @param host IP address
     * @param port TCP port
     * @param failureDomain the failure domain that it runs in
     * @param slots number of calls that it can process concurrently
     * @param connectionLimit maximum number of connections of all instances together to it
     * @param draining true while it must receive no new calls
     * @param incarnation distinguishes the starts of a server that keeps its name; 0 if unknown
     * @param warmUp call limit while it is cold
     */
    public BackendServer(
            BackendServerId id,
            String host,
            int port,
            FailureDomainId failureDomain,
            int slots,
            int connectionLimit,
            boolean draining,
            long incarnation,
            WarmUpPlan warmUp) {
        this(
                id,
                host,
                port,
                failureDomain,
                slots,
                connectionLimit,
                draining,
                incarnation,
                warmUp,
                null);
    }

    /**
     * Creates a server that is not known to be cold.
     *
     * @param id name, unique within its service
     * @param host IP address
     * @param port TCP port
     * @param failureDomain the failure domain that it runs in
     * @param slots number of calls that it can process concurrently
     * @param connectionLimit maximum number of connections of all instances together to it
     * @param draining true while it must receive no new calls
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
