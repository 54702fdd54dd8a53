package org.snipeslip.core.call;

import org.snipeslip.core.admission.ConcurrencyLimit;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.load.ServerLoad;
import org.snipeslip.core.load.ServiceLoad;
import org.snipeslip.core.warmup.ColdRate;
import org.snipeslip.core.warmup.WarmUp;

/** What one instance knows of one backend server. Guarded by the lock of its shard. */
final class ServerState {
    /**
     * A server that reports this many calls per slot has a queue; a further call waits at this
     * instance, where it keeps its priority and can go to another server.
     */
    private static final int FULL_CALLS_PER_SLOT = 2;

    /** A report says that a server is full for this many mean latencies. */
    private static final int FULL_LATENCIES = 3;

    private static final int BATCH_FULL_LATENCIES = 10;

    final ServerLoad load;
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    final WarmUp warmUp = new WarmUp();

    BackendServer server;
    RegionId region;
    boolean failureDomainInService;
    boolean drainReported;
    boolean coldReported;

    private final ServiceLoad service;
    private final ColdRate coldRate = new ColdRate();
    private int connectionShare;
    private int coldShare;
    private long coldUntilNanos = WarmUpPlan.WARM;

    ServerState(ServiceLoad service) {
        this.service = service;
        this.load = new ServerLoad(service);
    }

    void configure(
            BackendServer newServer, FailureDomain domain, Distance distance, FleetShare fleet) {
        server = newServer;
        coldUntilNanos = Math.max(coldUntilNanos, newServer.warmUp().coldUntilNanos());
        region = domain.region();
        failureDomainInService = domain.inService();
        load.configure(distance, newServer.slots());
        fleet(fleet);
    }

    /** Takes the instances that share the limits of this server. */
    void fleet(FleetShare fleet) {
        int instances = fleet.instances();
        limit.configure(server.slots(), server.connectionLimit(), instances);
        connectionShare = ConcurrencyLimit.connectionShare(server.connectionLimit(), instances);
        coldShare =
                ColdRate.share(
                        server.warmUp().callsPerSecond(),
                        instances,
                        fleet.ownIndex(),
                        server.id().value().hashCode());
    }

    boolean isDraining() {
        return server.draining() || drainReported;
    }

    boolean isInService() {
        return failureDomainInService && !isDraining();
    }

    /** Takes the return of a server that may have gone cold while it got no calls. */
    void startCold(long nowNanos) {
        if (server.warmUp().durationNanos() > 0) {
            coldUntilNanos = Math.max(coldUntilNanos, nowNanos + server.warmUp().durationNanos());
        }
    }

    /** Notes a call that is sent. */
    void sent(long nowNanos) {
        load.sent(nowNanos);
        if (isColdByPlan(nowNanos)) {
            coldRate.sent(nowNanos);
        }
    }

    private boolean isColdByPlan(long nowNanos) {
        return server.warmUp().callsPerSecond() > 0 && nowNanos < coldUntilNanos;
    }

    /** Calls that may be in flight now; with a baseline policy only the connections limit them. */
    int limitNow(boolean adaptive, long nowNanos) {
        return adaptive ? Math.min(limit.limit(), warmUp.limit(nowNanos)) : connectionShare;
    }

    boolean hasRoom(boolean adaptive, CallClass callClass, long nowNanos) {
        return bearsCall(nowNanos)
                && load.inFlight() < limitNow(adaptive, nowNanos)
                && !(adaptive && isFullByReport(callClass, nowNanos));
    }

    /** With probes before each call, only connections and the rate while cold bound the calls. */
    boolean hasProbedRoom(long nowNanos) {
        return bearsCall(nowNanos) && load.inFlight() < connectionShare;
    }

    /** Tells whether this instance may send one more call to the server while it is cold. */
    private boolean bearsCall(long nowNanos) {
        return !isColdByPlan(nowNanos) || coldRate.allows(coldShare, nowNanos);
    }

    /** Batch calls take free slots only: a queue at the server has no priority. */
    private boolean isFullByReport(CallClass callClass, long nowNanos) {
        long age = load.reportAgeNanos(nowNanos);
        boolean batch = callClass == CallClass.BATCH;
        int latencies = batch ? BATCH_FULL_LATENCIES : FULL_LATENCIES;
        if (age < 0 || age > latencies * service.meanNanos()) {
            return false;
        }
        boolean freeSlotsOnly = warmUp.isCold() || batch;
        int perSlot = freeSlotsOnly ? 1 : FULL_CALLS_PER_SLOT;
        return load.estimatedInFlight(nowNanos) >= perSlot * load.slots();
    }
}
