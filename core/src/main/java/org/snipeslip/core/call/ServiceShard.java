package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.once.ClaimRequest;

/**
 * The calls and backend servers of one service. Every method takes the shard's own lock, which is
 * the last but one in the lock order; no other shard is locked meanwhile.
 */
final class ServiceShard {
    private final ServiceId service;
    private final CallSettings settings;
    private final RandomGenerator random;
    private final Map<BackendServerId, ServerState> servers = new HashMap<>();
    private final Map<RequestId, CallState> calls = new HashMap<>();

    ServiceShard(ServiceId service, CallSettings settings, RandomGenerator random) {
        this.service = service;
        this.settings = settings;
        this.random = random;
    }

    synchronized void configure(ConfigSet config) {
        Service object = config.services().get(service);
        List<BackendServer> configured = object == null ? List.of() : object.backendServers();
        Map<BackendServerId, ServerState> kept = new HashMap<>();
        for (BackendServer server : configured) {
            ServerState state = servers.getOrDefault(server.id(), new ServerState());
            FailureDomain domain = config.failureDomains().get(server.failureDomain());
            state.server = server;
            state.region = domain.region();
            state.failureDomainInService = domain.inService();
            kept.put(server.id(), state);
        }
        servers.clear();
        servers.putAll(kept);
    }

    synchronized int openCalls() {
        return calls.size();
    }

    synchronized void arrive(CallState call, long nowNanos, Outbox outbox) {
        calls.put(call.request, call);
        if (call.needsClaim()) {
            outbox.claim(
                    new ClaimRequest(
                            call.request,
                            call.head.organisation(),
                            call.route.id(),
                            call.head.idempotencyKey(),
                            call.head.fingerprint(),
                            call.homeRegions,
                            call.deadlineNanos));
        } else {
            sendTry(call, RefusalReason.NO_BACKEND_SERVER, nowNanos, outbox);
        }
    }

    synchronized void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        CallState call = calls.get(decision.request());
        if (call == null) {
            return;
        }
        switch (decision) {
            case ClaimDecision.Granted granted -> {
                call.claimGranted = true;
                sendTry(call, RefusalReason.NO_BACKEND_SERVER, nowNanos, outbox);
            }
            case ClaimDecision.Replay replay -> {
                calls.remove(call.request);
                outbox.add(new Action.ReplayAnswer(call.request, replay.answer()));
            }
            case ClaimDecision.Refused refused -> refuse(call, refused.refusal(), outbox);
        }
    }

    synchronized void answered(TryId tryId, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = currentCall(tryId);
        if (call == null) {
            return;
        }
        noteLoad(call.currentServer, load, nowNanos);
        call.headRelayed = true;
        outbox.add(new Action.RelayAnswer(tryId));
    }

    synchronized boolean completed(TryId tryId) {
        CallState call = currentCall(tryId);
        if (call == null) {
            return false;
        }
        end(call);
        return true;
    }

    synchronized void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = currentCall(tryId);
        if (call == null) {
            return;
        }
        noteLoad(call.currentServer, load, nowNanos);
        release(call);
        if (call.headRelayed) {
            calls.remove(call.request);
            return;
        }
        if (mayTryAgain(call, failure) && nowNanos < call.deadlineNanos) {
            call.retriesLeft--;
            sendTry(call, reasonOf(failure), nowNanos, outbox);
        } else {
            refuse(call, refusalAfter(failure), outbox);
        }
    }

    synchronized void callerGone(RequestId request, Outbox outbox) {
        CallState call = calls.get(request);
        if (call != null) {
            outbox.add(new Action.CancelTry(call.current));
            end(call);
        }
    }

    synchronized boolean holds(RequestId request) {
        return calls.containsKey(request);
    }

    private boolean mayTryAgain(CallState call, TryFailure failure) {
        boolean safe = !failure.mayHaveStarted() || call.isIdempotent();
        return safe
                && call.head.bodyReplayable()
                && call.retriesLeft > 0
                && call.tries < settings.maxTries()
                && failure != TryFailure.REQUEST_BODY_BROKEN;
    }

    private void sendTry(CallState call, RefusalReason whenNone, long nowNanos, Outbox outbox) {
        ServerState chosen = choose(call);
        if (chosen == null) {
            refuse(call, Refusal.notRun(whenNone), outbox);
            return;
        }
        call.tries++;
        call.current = new TryId(call.request, call.tries);
        call.currentServer = chosen.server.id();
        call.tried.add(call.currentServer);
        chosen.inFlight++;
        outbox.add(
                new Action.SendTry(
                        call.current,
                        service,
                        chosen.server,
                        call.deadlineNanos - nowNanos,
                        Math.max(0, call.retriesLeft),
                        false));
        DecisionRecord.Kind kind =
                call.tries == 1 ? DecisionRecord.Kind.ROUTED : DecisionRecord.Kind.RETRIED;
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                call.request,
                                kind,
                                call.route.id(),
                                service,
                                call.tries,
                                call.currentServer,
                                null,
                                List.of())));
    }

    /** Power of two choices by local in-flight calls. */
    private ServerState choose(CallState call) {
        List<ServerState> eligible = new ArrayList<>();
        for (ServerState state : servers.values()) {
            if (isEligible(state, call)) {
                eligible.add(state);
            }
        }
        if (eligible.isEmpty()) {
            return null;
        }
        ServerState first = eligible.get(random.nextInt(eligible.size()));
        ServerState second = eligible.get(random.nextInt(eligible.size()));
        return first.inFlight <= second.inFlight ? first : second;
    }

    private static boolean isEligible(ServerState state, CallState call) {
        return call.homeRegions.allows(state.region)
                && state.failureDomainInService
                && !state.isDraining()
                && state.inFlight < state.server.connectionLimit()
                && !call.tried.contains(state.server.id());
    }

    private static RefusalReason reasonOf(TryFailure failure) {
        return switch (failure) {
            case REFUSED_NOT_RUN -> RefusalReason.BACKEND_SERVER_REFUSED;
            case TIMED_OUT -> RefusalReason.DEADLINE_EXCEEDED;
            default -> RefusalReason.BACKEND_SERVER_FAILED;
        };
    }

    private static Refusal refusalAfter(TryFailure failure) {
        RefusalReason reason = reasonOf(failure);
        return failure.mayHaveStarted() ? Refusal.unknown(reason) : Refusal.notRun(reason);
    }

    private void refuse(CallState call, Refusal refusal, Outbox outbox) {
        calls.remove(call.request);
        outbox.add(new Action.RefuseCaller(call.request, refusal));
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                call.request,
                                DecisionRecord.Kind.REFUSED,
                                call.route.id(),
                                service,
                                call.tries,
                                null,
                                refusal,
                                List.of())));
    }

    private CallState currentCall(TryId tryId) {
        CallState call = calls.get(tryId.request());
        return call != null && tryId.equals(call.current) ? call : null;
    }

    private void end(CallState call) {
        release(call);
        calls.remove(call.request);
    }

    private void release(CallState call) {
        ServerState state = servers.get(call.currentServer);
        if (state != null) {
            state.inFlight = Math.max(0, state.inFlight - 1);
        }
    }

    private void noteLoad(BackendServerId id, LoadReport load, long nowNanos) {
        ServerState state = servers.get(id);
        if (state != null && load.isKnown()) {
            state.load = load;
            state.loadAtNanos = nowNanos;
            state.drainReported = load.draining();
        }
    }
}
