package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.probe.ProbeBudget;
import org.snipeslip.core.probe.ProbeSchedule;
import org.snipeslip.core.probe.ProbeSettings;

/**
 * Sends the probes of one service that no call waits for: periodic ones within the probe budget,
 * and rare ones of servers that name a rate limit. Guarded by the shard's lock.
 */
final class ShardProbes {
    private static final long SCHEDULE_PERIOD_NANOS = 1_000_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A rate limit that was confirmed within this time is not asked for. */
    private static final long RATE_LIMIT_AGE_NANOS = 2_000_000_000;

    private final ServiceId service;
    private final ServerPool pool;
    private final ProbeSettings settings;
    private final ProbeBudget budget;
    private final ProbeSchedule<BackendServerId> schedule;
    private List<Route> routes = List.of();
    private String path = Service.DEFAULT_PROBE_PATH;
    private long scheduleDueNanos = ShardTimer.NEVER;
    private long rateLimitDueNanos = ShardTimer.NEVER;

    ShardProbes(ServiceId service, ServerPool pool, ProbeSettings settings, ProbeBudget budget) {
        this.service = service;
        this.pool = pool;
        this.settings = settings;
        this.budget = budget;
        this.schedule = new ProbeSchedule<>(settings.staleMillis() * NANOS_PER_MILLI);
    }

    void configure(ConfigSet config, long nowNanos) {
        Service configured = config.services().get(service);
        path = configured == null ? path : configured.probePath();
        routes = config.routes().values().stream().filter(route -> route.sendsTo(service)).toList();
        boolean needed = settings.isEnabled() && pool.all().length > 0;
        scheduleDueNanos = needed ? nowNanos + SCHEDULE_PERIOD_NANOS : ShardTimer.NEVER;
    }

    /** Returns the HTTP path at which servers report their load. */
    String path() {
        return path;
    }

    long nextDueNanos() {
        return Math.min(scheduleDueNanos, rateLimitDueNanos);
    }

    void timerFired(long nowNanos, Outbox outbox) {
        if (nowNanos >= rateLimitDueNanos) {
            rateLimitDueNanos = ShardTimer.NEVER;
            probeRateLimitedServers(nowNanos, outbox);
        }
        if (nowNanos >= scheduleDueNanos) {
            probeScheduledServers(nowNanos, outbox);
        }
    }

    /** Schedules probes of the servers that name a rate limit, unless they are scheduled. */
    void scheduleRateLimitProbes(long nowNanos) {
        if (rateLimitDueNanos == ShardTimer.NEVER) {
            rateLimitDueNanos = nowNanos + pool.rateLimitWait().probeDelayNanos(pool.instances());
        }
    }

    /**
     * Asks servers whether their rate limit still holds. An instance without a share sends them no
     * call whose response could tell.
     */
    private void probeRateLimitedServers(long nowNanos, Outbox outbox) {
        for (ServerState state : pool.all()) {
            if (!state.allowance.isLimited()) {
                continue;
            }
            scheduleRateLimitProbes(nowNanos);
            if (state.allowance.ageNanos(nowNanos) >= RATE_LIMIT_AGE_NANOS && mayProbe(state)) {
                outbox.add(new Action.SendProbe(service, state.server, path));
            }
        }
    }

    private void probeScheduledServers(long nowNanos, Outbox outbox) {
        scheduleDueNanos = nowNanos + SCHEDULE_PERIOD_NANOS;
        schedule.clearCandidates();
        for (ServerState state : pool.all()) {
            boolean unreachedByCalls = state.drainReported || state.warmUp.isCold();
            if (mayProbe(state)) {
                long ageNanos = state.load.reportAgeNanos(nowNanos);
                schedule.addCandidate(state.server.id(), unreachedByCalls, ageNanos, nowNanos);
            }
        }
        for (BackendServerId id : schedule.candidates()) {
            ServerState state = pool.find(id);
            if (budget.takeProbe(isCrossRegion(state), nowNanos)) {
                schedule.recordSent(id, nowNanos);
                outbox.add(new Action.SendProbe(service, state.server, path));
            }
        }
    }

    void answered(BackendServerId id, long sizeBytes) {
        schedule.recordEnd(id);
        ServerState state = pool.find(id);
        budget.probeEnded(state != null && isCrossRegion(state), sizeBytes);
    }

    void failed(BackendServerId id) {
        schedule.recordEnd(id);
    }

    /**
     * Returns whether a probe of the server is useful. A server that is out of service, or in a
     * region that no route of the service may use, needs none.
     */
    private boolean mayProbe(ServerState state) {
        if (!state.failureDomainInService || state.server.draining() || state.leaving) {
            return false;
        }
        for (Route route : routes) {
            if (route.homeRegions().isEmpty() || route.homeRegions().contains(state.region)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isCrossRegion(ServerState state) {
        return state.load.distance() == Distance.OTHER_REGION;
    }
}
