package org.snipeslip.core.call;

import org.snipeslip.core.load.ServiceLoad;

/** Turns the ends of tries into load data, limits and warm-up. Guarded by the shard's lock. */
final class ServerFeedback {
    private static final int FIRST_ERROR_STATUS = 500;

    /** A response this many times slower than the service mean is evidence of a cold server. */
    private static final double SLOW_FACTOR = 4;

    private final ServerPool pool;

    ServerFeedback(ServerPool pool) {
        this.pool = pool;
    }

    void sent(ServerState state, long nowNanos) {
        state.sent(nowNanos);
        if (state.warmUp.isCold()) {
            state.warmUp.sent(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
        }
    }

    void answered(OpenTry each, int status, LoadReport report, long nowNanos) {
        ServerState state = each.server;
        ServiceLoad service = pool.serviceLoad();
        reported(state, report, nowNanos);
        long latency = nowNanos - each.sentAtNanos;
        boolean error = status >= FIRST_ERROR_STATUS;
        state.load.observeError(error, nowNanos);
        if (error && state.load.isErrorOutlier()) {
            state.load.failed(latency, nowNanos);
            state.limit.refused(service.baselineNanos(), nowNanos);
            bad(state, nowNanos);
            return;
        }
        double own = state.load.serverNanos(latency);
        boolean slow = own > SLOW_FACTOR * service.meanNanos();
        state.load.responded(latency, nowNanos);
        int inFlight = state.load.inFlight();
        state.limit.responded(own, service.baselineNanos(), inFlight, nowNanos);
        if (slow) {
            bad(state, nowNanos);
        } else if (!error) {
            state.warmUp.good(fullLimit(state), state.coldReported);
        }
    }

    void failed(OpenTry each, TryFailure failure, LoadReport report, long nowNanos) {
        ServerState state = each.server;
        reported(state, report, nowNanos);
        long latency = nowNanos - each.sentAtNanos;
        switch (failure) {
            case REQUEST_BODY_BROKEN -> {
                // The caller's fault; it says nothing about the server.
            }
            case CANCELLED -> state.load.cancelled(latency, nowNanos);
            case TIMED_OUT -> timedOut(state, latency, nowNanos);
            case NO_CONNECTION_LEFT ->
                    state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
            default -> {
                state.load.observeError(true, nowNanos);
                state.load.failed(latency, nowNanos);
                state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
                if (state.warmUp.isCold() || state.load.isErrorOutlier()) {
                    bad(state, nowNanos);
                }
            }
        }
    }

    void cancelled(OpenTry each, long nowNanos) {
        each.server.load.cancelled(nowNanos - each.sentAtNanos, nowNanos);
    }

    /** Takes a probe without an answer; the state is null if the server was removed meanwhile. */
    void silent(ServerState state, long nowNanos) {
        if (state != null) {
            state.load.silent(nowNanos);
        }
    }

    void reported(ServerState state, LoadReport report, long nowNanos) {
        if (!report.isKnown()) {
            return;
        }
        state.load.reported(report.inFlight(), report.slots(), nowNanos);
        state.load.paced(report.slowdown(), report.unwell());
        boolean wasInService = state.isInService();
        state.drainReported = report.draining();
        boolean becameCold = report.cold() && !state.coldReported;
        boolean cameBack = !wasInService && state.isInService();
        state.coldReported = report.cold();
        if (becameCold || cameBack) {
            state.warmUp.startCold(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
        }
    }

    /** A caller's deadline may be shorter than any response, so only the elapsed time counts. */
    private void timedOut(ServerState state, long elapsedNanos, long nowNanos) {
        state.load.cancelled(elapsedNanos, nowNanos);
        if (state.load.serverNanos(elapsedNanos) > SLOW_FACTOR * pool.serviceLoad().meanNanos()) {
            state.limit.refused(pool.serviceLoad().baselineNanos(), nowNanos);
            bad(state, nowNanos);
        }
    }

    private void bad(ServerState state, long nowNanos) {
        state.warmUp.bad(pool.warmUpPauseNanos(state, nowNanos), nowNanos);
    }

    private static int fullLimit(ServerState state) {
        return Math.min(state.server.slots(), state.limit.bound());
    }
}
