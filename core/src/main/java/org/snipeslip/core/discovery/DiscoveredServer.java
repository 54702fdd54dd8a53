package org.snipeslip.core.discovery;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;

/**
 * A backend server as registered by itself in the store.
 *
 * @param id name of the server
 * @param service the service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain the failure domain that it runs in
 * @param slots number of calls that it can process concurrently
 * @param draining whether it asks for no new calls
 * @param warmUpLeftNanos remaining duration of its warm-up; 0 if it is warm
 * @param incarnation distinguishes the starts of one server, later ones are higher; 0 if unknown
 * @param writes number of times that this incarnation has written its entry; 0 if unknown
 * @param version version of its software, or null if unknown
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
        long incarnation,
        long writes,
        ServerVersion version) {
    /** Creates a server of an unknown version. */
    public DiscoveredServer(
            BackendServerId id,
            ServiceId service,
            String host,
            int port,
            FailureDomainId failureDomain,
            int slots,
            boolean draining,
            long warmUpLeftNanos,
            long incarnation,
            long writes) {
        this(
                id,
                service,
                host,
                port,
                failureDomain,
                slots,
                draining,
                warmUpLeftNanos,
                incarnation,
                writes,
                null);
    }

    /** Returns whether the server wrote this entry before another one. */
    boolean isWrittenBefore(DiscoveredServer other) {
        return incarnation < other.incarnation
                || incarnation == other.incarnation && writes < other.writes;
    }
}
