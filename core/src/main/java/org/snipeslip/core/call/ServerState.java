package org.snipeslip.core.call;

import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.RegionId;

/** What one instance knows of one backend server. Guarded by the lock of its shard. */
final class ServerState {
    BackendServer server;
    RegionId region;
    boolean failureDomainInService;
    boolean drainReported;
    int inFlight;
    LoadReport load = LoadReport.UNKNOWN;
    long loadAtNanos;

    boolean isDraining() {
        return server.draining() || drainReported;
    }
}
