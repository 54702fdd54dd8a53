package org.snipeslip.core.call;

import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.load.ServiceLoad;
import org.snipeslip.core.ratelimit.RateLimit;

/**
 * Updates load data, concurrency limits and warm-up of the backend servers from the results of
 * tries and probes. Guarded by the shard's lock.
 */
final class ServerFeedback {
    private static final int MIN_ERROR_STATUS = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A probe that has no answer within this time has failed, so an answer is to a later one. */
    private static final long MAX_PROBE_NANOS = 500_000_000;

    /** A response this many times slower than the service mean is evidence of a cold server. */
    private static final double SLOW_FACTOR = 4;

    private final ServiceId service;
    private final ServerPool pool;
    private final ShardProbes probes;
    private final Detour detour;

    ServerFeedback(ServiceId service, ServerPool pool, ShardProbes probes, Detour detour) {
        this.probes = probes;
        this.detour = detour;
        this.service = service;
        this.pool = pool;
    }

    void sent(ServerState state, long nowNanos) {
        state.sent(nowNanos);
        if (state.warmUp.isCold()) {
            state.warmUp.sent(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
        }
    }

    void answered(OpenTry openTry, int status, LoadReport report, long nowNanos, Outbox outbox) {
        ServerState state = openTry.server;
        detour.serverAnswered(state.server.id(), nowNanos, outbox);
        ServiceLoad serviceLoad = pool.serviceLoad();
        applyRateLimit(state, report, openTry.sentAtNanos, false, nowNanos, outbox);
        applyReport(state, report, false, nowNanos, outbox);
        if (report.leaving()) {
            openTry.sayLeaving();
        }
        long latencyNanos = nowNanos - openTry.sentAtNanos;
        boolean error = status >= MIN_ERROR_STATUS;
        pool.versions().answered(openTry, error, nowNanos);
        state.load.observeError(error, nowNanos);
        if (error && state.load.isErrorOutlier()) {
            state.load.failed(latencyNanos, nowNanos);
            state.limit.refused(serviceLoad.baselineNanos(), nowNanos);
            recordBadResponse(state, nowNanos);
            return;
        }
        double serverNanos = state.load.serverNanos(latencyNanos);
        boolean slow = serverNanos > SLOW_FACTOR * serviceLoad.meanNanos();
        state.load.responded(latencyNanos, nowNanos);
        int inFlight = state.load.inFlight();
        state.limit.responded(serverNanos, serviceLoad.baselineNanos(), inFlight, nowNanos);
        if (slow) {
            recordBadResponse(state, nowNanos);
        } else if (!error) {
            state.warmUp.recordSuccess(fullLimit(state), state.coldReported);
        }
    }

    void failed(
            OpenTry openTry, TryFailure failure, LoadReport report, long nowNanos, Outbox outbox) {
        ServerState state = openTry.server;
        switch (failure) {
            case NOT_CONNECTED, CONNECT_TIMED_OUT, BROKEN_BEFORE_HEAD ->
                    detour.serverUnreachable(state.server, nowNanos, outbox);
            case REFUSED_NOT_RUN, BROKEN_BODY, MALFORMED_BODY, MALFORMED ->
                    detour.serverAnswered(state.server.id(), nowNanos, outbox);
            default -> {
                // Says nothing about the link.
            }
        }
        applyRateLimit(state, report, openTry.sentAtNanos, false, nowNanos, outbox);
        applyReport(state, report, false, nowNanos, outbox);
        if (report.leaving()) {
            leaving(state, false, nowNanos, outbox);
        }
        long latencyNanos = nowNanos - openTry.sentAtNanos;
        pool.versions().failed(openTry, failure, pool.serviceLoad().meanNanos(), nowNanos);
        switch (failure) {
            case REQUEST_BODY_BROKEN, SERVER_LEFT -> {
                // Says nothing about how the server handles calls.
            }
            case CANCELLED -> state.load.cancelled(latencyNanos, nowNanos);
            case TIMED_OUT -> timedOut(state, latencyNanos, nowNanos);
            case NO_CONNECTION_LEFT ->
                    state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
            default -> {
                state.load.observeError(true, nowNanos);
                state.load.failed(latencyNanos, nowNanos);
                state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
                if (state.warmUp.isCold() || state.load.isErrorOutlier()) {
                    recordBadResponse(state, nowNanos);
                }
            }
        }
    }

    /** Handles a response that was relayed to its end. */
    void completed(OpenTry openTry, long nowNanos, Outbox outbox) {
        if (openTry.saysLeaving()) {
            leaving(openTry.server, false, nowNanos, outbox);
        }
    }

    /**
     * Handles a whole response whose server says that it will end. The word of a server whose start
     * is unknown counts for nothing, because it would hold for later starts too.
     */
    private void leaving(ServerState state, boolean byProbe, long nowNanos, Outbox outbox) {
        if (state.leaving || state.server.incarnation() == 0) {
            return;
        }
        pool.markLeaving(state, nowNanos);
        outbox.add(
                new Action.ServerLeaving(
                        service, state.server.id(), state.server.incarnation(), byProbe));
    }

    void cancelled(OpenTry openTry, long nowNanos) {
        pool.versions().givenUp(openTry, pool.serviceLoad().meanNanos(), nowNanos);
        openTry.server.load.cancelled(nowNanos - openTry.sentAtNanos, nowNanos);
    }

    /** Handles an unanswered probe; the state is null if the server has been removed since. */
    void probeFailed(ServerState state, long nowNanos, Outbox outbox) {
        if (state != null) {
            detour.serverUnreachable(state.server, nowNanos, outbox);
            state.load.recordProbeFailure(nowNanos);
        }
    }

    void probeAnswered(ServerState state, LoadReport report, long nowNanos, Outbox outbox) {
        detour.serverAnswered(state.server.id(), nowNanos, outbox);
        long earliestSentNanos = nowNanos - MAX_PROBE_NANOS;
        applyRateLimit(state, report, earliestSentNanos, true, nowNanos, outbox);
        applyReport(state, report, true, nowNanos, outbox);
        // An earlier answer may be one of the incarnation before.
        if (report.leaving() && earliestSentNanos >= state.knownSinceNanos) {
            leaving(state, true, nowNanos, outbox);
        }
    }

    private void applyRateLimit(
            ServerState state,
            LoadReport report,
            long sentNanos,
            boolean byProbe,
            long nowNanos,
            Outbox outbox) {
        state.allowance.observe(report.rateLimit(), sentNanos, nowNanos);
        if (state.allowance.isLimited()) {
            probes.scheduleRateLimitProbes(nowNanos);
        }
        RateLimit before = state.rateLimitReports.replaceLogged(report.rateLimit(), nowNanos);
        if (before != null) {
            outbox.add(
                    new Action.RateLimitChanged(
                            service,
                            state.server.id(),
                            before,
                            report.rateLimit(),
                            state.allowance.share(),
                            byProbe));
        }
    }

    private void applyReport(
            ServerState state, LoadReport report, boolean byProbe, long nowNanos, Outbox outbox) {
        long coldMillis = report.coldMillis();
        if (coldMillis > 0 && state.reportedCold(coldMillis * NANOS_PER_MILLI, nowNanos)) {
            outbox.add(new Action.ServerCold(service, state.server.id(), coldMillis, byProbe));
        }
        if (!report.isKnown()) {
            return;
        }
        state.load.reported(report.inFlight(), report.slots(), nowNanos);
        state.load.recordSlowdownAndHealth(report.slowdown(), report.unhealthy());
        boolean wasInService = state.isInService();
        state.drainReported = report.draining();
        boolean becameCold = report.cold() && !state.coldReported;
        boolean cameBack = !wasInService && state.isInService();
        state.coldReported = report.cold();
        if (becameCold || cameBack) {
            state.warmUp.startCold(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
        }
    }

    /**
     * Handles a try that reached the caller's deadline. The deadline may be shorter than any
     * response time, so the time-out is not an error; only a long elapsed time is evidence.
     */
    private void timedOut(ServerState state, long elapsedNanos, long nowNanos) {
        state.load.cancelled(elapsedNanos, nowNanos);
        if (state.load.serverNanos(elapsedNanos) > SLOW_FACTOR * pool.serviceLoad().meanNanos()) {
            state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
            recordBadResponse(state, nowNanos);
        }
    }

    private void recordBadResponse(ServerState state, long nowNanos) {
        state.warmUp.recordBadResponse(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
    }

    private static int fullLimit(ServerState state) {
        return Math.min(state.server.slots(), state.limit.bound());
    }
}
