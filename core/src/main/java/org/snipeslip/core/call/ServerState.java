package org.snipeslip.core.call;

import java.util.random.RandomGenerator;
import org.snipeslip.core.admission.ConcurrencyLimit;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.load.ServerLoad;
import org.snipeslip.core.load.ServiceLoad;
import org.snipeslip.core.ratelimit.CallAllowance;
import org.snipeslip.core.ratelimit.RateLimitReports;
import org.snipeslip.core.warmup.ColdRate;
import org.snipeslip.core.warmup.WarmUp;

/** State of one backend server as this instance sees it. Guarded by the lock of its shard. */
final class ServerState {
    /**
     * A server that reports this many calls per slot has a queue. Further calls wait at this
     * instance, where they keep their priority and can still be sent to another server.
     */
    private static final int FULL_CALLS_PER_SLOT = 2;

    /** Number of mean latencies for which a report that the server is full remains valid. */
    private static final int FULL_REPORT_LATENCIES = 3;

    private static final int BATCH_FULL_REPORT_LATENCIES = 10;

    /** A probe of a server of another region is answered within this time. */
    private static final long RECENT_REPORT_NANOS = 30_000_000;

    /** Longer than a server whose entry has lapsed is missing, for example after an outage. */
    private static final long LIMIT_KEPT_NANOS = 30_000_000_000L;

    final ServerLoad load;
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    final WarmUp warmUp = new WarmUp();
    final RateLimitReports rateLimitReports = new RateLimitReports();

    BackendServer server;
    RegionId region;
    boolean failureDomainInService;
    boolean drainReported;
    boolean coldReported;

    /** Whether it has said that it will end; true for the rest of its life. */
    boolean leaving;

    /** Open responses whose heads say so; only a whole response counts for longer. */
    int leavingResponses;

    /** When this incarnation became known. */
    final long knownSinceNanos;

    /** Whether it runs a request that may crash it, so that other calls are kept away. */
    boolean runsSuspect;

    /** The calls that the server accepts from this instance while it names a rate limit. */
    final CallAllowance allowance;

    private final ServiceLoad service;
    private final ColdRate coldRate = new ColdRate();
    private int connectionShare;
    private int coldCallShare;
    private long coldUntilNanos = WarmUpPlan.WARM;

    ServerState(ServiceLoad service, RandomGenerator random, long nowNanos) {
        this.knownSinceNanos = nowNanos;
        this.service = service;
        this.allowance = new CallAllowance(random);
        this.load = new ServerLoad(service);
    }

    void configure(
            BackendServer newServer, FailureDomain domain, Distance distance, InstanceShare share) {
        server = newServer;
        coldUntilNanos = Math.max(coldUntilNanos, newServer.warmUp().coldUntilNanos());
        region = domain.region();
        failureDomainInService = domain.inService();
        load.configure(distance, newServer.slots());
        setInstanceShare(share);
    }

    /** Recomputes this instance's share of the limits of this server. */
    void setInstanceShare(InstanceShare share) {
        int instances = share.instances();
        limit.configure(server.slots(), server.connectionLimit(), instances);
        connectionShare = ConcurrencyLimit.connectionShare(server.connectionLimit(), instances);
        coldCallShare = share.ownPart(server.warmUp().callsPerSecond(), server.id().value());
        allowance.setShare(calls -> share.of(calls, server.id().value(), region.value()));
    }

    boolean isDraining() {
        return server.draining() || drainReported || leaving || leavingResponses > 0;
    }

    boolean isInService() {
        return failureDomainInService && !isDraining();
    }

    /** Starts the cold period of a server that may have become cold while it received no calls. */
    void startColdPeriod(long nowNanos) {
        if (server.warmUp().durationNanos() > 0) {
            coldUntilNanos = Math.max(coldUntilNanos, nowNanos + server.warmUp().durationNanos());
        }
    }

    /**
     * Handles a report that the server will be cold for a time. It may have become cold before the
     * report, so what was sent in the last window counts against the limit.
     *
     * @return whether it was not known to be cold
     */
    boolean reportedCold(long coldNanos, long nowNanos) {
        boolean news = !isInColdPeriod(nowNanos);
        coldUntilNanos = Math.max(coldUntilNanos, nowNanos + coldNanos);
        return news && isInColdPeriod(nowNanos);
    }

    /** Counts a call that is sent, also against the rate limits that apply now. */
    void sent(long nowNanos) {
        load.sent(nowNanos);
        allowance.sent(nowNanos);
        if (server.warmUp().callsPerSecond() > 0) {
            coldRate.sent(nowNanos);
        }
    }

    /**
     * Returns whether the state of a removed server need not be kept for its return: no call is in
     * flight and no rate limit was named recently.
     */
    boolean isForgettable(long nowNanos) {
        return load.inFlight() == 0
                && (!allowance.isLimited() || allowance.ageNanos(nowNanos) > LIMIT_KEPT_NANOS);
    }

    boolean isInColdPeriod(long nowNanos) {
        return server.warmUp().callsPerSecond() > 0 && nowNanos < coldUntilNanos;
    }

    /**
     * Returns whether one more call would exceed this instance's share if the server has become
     * cold since it was last heard of.
     */
    boolean mayExceedColdLimit(long nowNanos) {
        if (server.warmUp().callsPerSecond() == 0 || coldRate.allows(coldCallShare, nowNanos)) {
            return false;
        }
        long reportAgeNanos = load.reportAgeNanos(nowNanos);
        return reportAgeNanos < 0 || reportAgeNanos > RECENT_REPORT_NANOS;
    }

    /**
     * Returns the number of calls that may be in flight now. With a baseline policy only the share
     * of the connections limits it.
     */
    int currentLimit(boolean adaptive, long nowNanos) {
        return adaptive ? Math.min(limit.limit(), warmUp.limit(nowNanos)) : connectionShare;
    }

    boolean hasRoom(boolean adaptive, CallClass callClass, long nowNanos) {
        return allowsCallWhileCold(nowNanos)
                && load.inFlight() < currentLimit(adaptive, nowNanos)
                && !(adaptive && isFullByReport(callClass, nowNanos));
    }

    /**
     * Returns whether a call may be sent if servers are probed before each call. In this case only
     * the connections and the rate limit of a cold server apply.
     */
    boolean hasRoomWhenProbed(long nowNanos) {
        return allowsCallWhileCold(nowNanos) && load.inFlight() < connectionShare;
    }

    /** Returns whether the rate limit of a cold server, if it applies, allows one more call. */
    private boolean allowsCallWhileCold(long nowNanos) {
        return !isInColdPeriod(nowNanos) || coldRate.allows(coldCallShare, nowNanos);
    }

    /**
     * Returns whether a recent report shows that the server has no room. Batch calls only use free
     * slots, because the queue of the server has no priorities.
     */
    private boolean isFullByReport(CallClass callClass, long nowNanos) {
        long reportAgeNanos = load.reportAgeNanos(nowNanos);
        boolean batch = callClass == CallClass.BATCH;
        int maxAgeLatencies = batch ? BATCH_FULL_REPORT_LATENCIES : FULL_REPORT_LATENCIES;
        if (reportAgeNanos < 0 || reportAgeNanos > maxAgeLatencies * service.meanNanos()) {
            return false;
        }
        boolean freeSlotsOnly = warmUp.isCold() || batch;
        int fullCallsPerSlot = freeSlotsOnly ? 1 : FULL_CALLS_PER_SLOT;
        return load.estimatedInFlight(nowNanos) >= fullCallsPerSlot * load.slots();
    }
}
