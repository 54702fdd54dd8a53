package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.idempotency.ClaimEnd;
import org.snipeslip.core.idempotency.ClaimRequest;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.OutboxValues;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;

/**
 * Call engines and simulated backend servers in virtual time. Some tries still deliver events after
 * they were cancelled, because a cancellation may cross a response.
 */
class FakeDeployment extends VirtualTime {
    static final long MILLI = 1_000_000;
    private static final double MEAN_SERVICE_NANOS = 2.0 * MILLI;

    final List<CallEngine> engines = new ArrayList<>();
    final List<EngineModel> models = new ArrayList<>();
    final Map<BackendServerId, FakeServer> servers = new LinkedHashMap<>();
    final Map<RequestId, FakeCall> calls = new LinkedHashMap<>();
    final SplittableRandom random;
    ConfigSet config = ConfigSet.EMPTY;
    double claimRefusalRate;
    int probes;
    int extraTries;
    int failedFast;

    private final List<FailureDomainId> domains = new ArrayList<>();
    private final Map<TryId, FakeTry> tries = new HashMap<>();
    private final Map<String, Long> timers = new HashMap<>();
    private long timerSequence;

    FakeDeployment(CallSettings settings, int instances, long seed, String... engineDomains) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < instances; i++) {
            FailureDomainId domain = new FailureDomainId(engineDomains[i % engineDomains.length]);
            domains.add(domain);
            engines.add(
                    new CallEngine(
                            settings, DeploymentFixtures.regionOf(domain), domain, seed + i));
            models.add(new EngineModel(DeploymentFixtures.regionOf(domain)));
        }
    }

    void configure(ConfigSet next) {
        next.services().values().stream()
                .flatMap(service -> service.backendServers().stream())
                .forEach(s -> servers.computeIfAbsent(s.id(), id -> new FakeServer(s)));
        for (int i = 0; i < engines.size(); i++) {
            Outbox outbox = new Outbox();
            models.get(i).configured(config, next);
            engines.get(i).configure(next, nowNanos, outbox);
            applyActions(i, outbox);
        }
        config = next;
    }

    FakeServer server(String name) {
        return servers.get(new BackendServerId(name));
    }

    FakeCall arrive(int engine, CallHead head) {
        return arrive(engine, head, 0);
    }

    FakeCall arrive(int engine, CallHead head, int repeat) {
        RequestId request = new RequestId("c" + calls.size());
        FakeCall call = new FakeCall(request, engine, head, nowNanos);
        call.repeat = repeat;
        calls.put(request, call);
        handle(engine, new Event.CallArrived(request, head));
        return call;
    }

    /** Lets the caller of a refused call react. */
    void refused(FakeCall call) {
        // Callers do not return.
    }

    void callerDisconnected(FakeCall call) {
        call.callerDisconnected = true;
        handle(call.engine, new Event.CallerDisconnected(call.request));
    }

    private void handle(int engine, Event event) {
        models.get(engine).beforeEvent(event, tries);
        Outbox outbox = new Outbox();
        engines.get(engine).handle(event, nowNanos, outbox);
        applyActions(engine, outbox);
    }

    private void applyActions(int engine, Outbox outbox) {
        for (Action action : outbox.actions()) {
            switch (action) {
                case Action.SendTry a -> send(engine, a);
                case Action.CancelTry a -> cancel(engine, tries.get(a.tryId()));
                case Action.RelayAnswer a -> relay(engine, a.tryId());
                case Action.RefuseCaller a -> {
                    calls.get(a.request()).finalActions++;
                    calls.get(a.request()).refusal = a.refusal();
                    calls.get(a.request()).refusedNanos = nowNanos;
                    refused(calls.get(a.request()));
                }
                case Action.ReplayAnswer a -> calls.get(a.request()).finalActions++;
                case Action.SetTimer a -> setTimer(engine, a.timer(), a.delayNanos());
                case Action.SendProbe a -> probe(engine, a);
                case Action.ServerLeaving a -> {
                    // Only logged.
                }
                case Action.ServerCold a -> {
                    // Only logged.
                }
                case Action.ShortageChanged a -> {
                    // Only logged.
                }
                case Action.RateLimitChanged a -> {
                    // Only logged.
                }
                case Action.RecordDecision a -> {
                    calls.get(a.decision().request()).decisionRecords++;
                }
                default -> throw new IllegalStateException(action.toString());
            }
        }
        for (Object value; (value = OutboxValues.poll(outbox)) != null; ) {
            switch (value) {
                case ClaimRequest claim -> schedule(MILLI, () -> decideClaim(engine, claim));
                case ClaimEnd end -> calls.get(end.request()).claimEnds.add(end.state());
                default -> throw new IllegalStateException(value.toString());
            }
        }
    }

    private void cancel(int engine, FakeTry fakeTry) {
        fakeTry.cancelled = random.nextBoolean();
        models.get(engine).cancelled(fakeTry);
    }

    private void decideClaim(int engine, ClaimRequest claim) {
        boolean refused = random.nextDouble() < claimRefusalRate;
        calls.get(claim.request()).claimGranted = !refused;
        Refusal refusal = Refusal.notRun(RefusalReason.IN_PROGRESS);
        Outbox outbox = new Outbox();
        engines.get(engine)
                .claimDecided(
                        refused
                                ? new ClaimDecision.Refused(claim.request(), refusal)
                                : new ClaimDecision.Granted(claim.request()),
                        nowNanos,
                        outbox);
        applyActions(engine, outbox);
    }

    private void setTimer(int engine, TimerId timer, long delayNanos) {
        long timerNumber = ++timerSequence;
        timers.put(engine + timer.key(), timerNumber);
        schedule(
                delayNanos,
                () -> {
                    if (timers.get(engine + timer.key()) == timerNumber) {
                        handle(engine, new Event.TimerFired(timer));
                    }
                });
    }

    private void probe(int engine, Action.SendProbe order) {
        probes++;
        models.get(engine).checkProbe(order.target(), config, nowNanos);
        FakeServer server = servers.get(order.target().id());
        LoadReport report = server.report(nowNanos);
        Event answer =
                server.down
                        ? new Event.ProbeFailed(order.service(), order.target().id())
                        : new Event.ProbeAnswered(
                                order.service(), order.target().id(), report, 400);
        schedule(MILLI, () -> handle(engine, answer));
    }

    private void send(int engine, Action.SendTry order) {
        FakeCall call = calls.get(order.tryId().request());
        FakeServer server = servers.get(order.target().id());
        models.get(engine).checkTry(order, call, config);
        call.triesSent++;
        extraTries += call.triesSent > 1 ? 1 : 0;
        FakeTry fakeTry = new FakeTry(engine, order, call, server);
        tries.put(order.tryId(), fakeTry);
        schedule(
                DeploymentFixtures.delayNanos(domains.get(engine), order.target()),
                () -> receive(server, fakeTry));
        schedule(order.remainingNanos(), () -> fail(fakeTry, TryFailure.TIMED_OUT));
    }

    private void receive(FakeServer server, FakeTry fakeTry) {
        server.arrivedNanos.add(nowNanos);
        server.sentNanos.add(fakeTry.call.arrivedNanos);
        if (server.down) {
            fail(fakeTry, TryFailure.NOT_CONNECTED);
        } else if (server.isFull()) {
            fail(fakeTry, TryFailure.REFUSED_NOT_RUN);
        } else if (server.failsFast) {
            fakeTry.call.executions++;
            failedFast++;
            answer(fakeTry, 500);
        } else if (server.running < server.config.slots()) {
            start(server, fakeTry);
        } else {
            server.queue.add(fakeTry);
            server.maxHeld = Math.max(server.maxHeld, server.running + server.queue.size());
        }
    }

    private void start(FakeServer server, FakeTry fakeTry) {
        fakeTry.call.executions++;
        server.running++;
        double mean = MEAN_SERVICE_NANOS * server.slowness();
        schedule(
                (long) (-Math.log(1 - random.nextDouble()) * mean),
                () -> {
                    server.running--;
                    server.served++;
                    boolean broken = server.down || random.nextDouble() < server.breakRate;
                    if (broken) {
                        fail(fakeTry, TryFailure.BROKEN_BEFORE_HEAD);
                    } else {
                        answer(fakeTry, 200);
                    }
                    while (!server.queue.isEmpty() && server.running < server.config.slots()) {
                        FakeTry next = server.queue.poll();
                        if (!next.cancelled) {
                            start(server, next);
                        }
                    }
                });
    }

    private void answer(FakeTry fakeTry, int status) {
        LoadReport report = fakeTry.server.report(nowNanos);
        schedule(
                DeploymentFixtures.delayNanos(domains.get(fakeTry.engine), fakeTry.order.target()),
                () -> {
                    if (!fakeTry.ended && !fakeTry.cancelled) {
                        fakeTry.answered = true;
                        TryId id = fakeTry.order.tryId();
                        handle(fakeTry.engine, new Event.TryAnswered(id, status, report));
                    }
                });
    }

    private void relay(int engine, TryId id) {
        FakeTry fakeTry = tries.get(id);
        fakeTry.call.finalActions++;
        fakeTry.call.relayedNanos = nowNanos;
        schedule(
                MILLI / 10,
                () -> {
                    fakeTry.ended = true;
                    boolean broken = random.nextDouble() < fakeTry.server.breakRate / 2;
                    handle(
                            engine,
                            broken
                                    ? new Event.TryFailed(
                                            id, TryFailure.BROKEN_BODY, LoadReport.UNKNOWN)
                                    : new Event.TryCompleted(id, RecordableAnswer.NONE));
                });
    }

    private void fail(FakeTry fakeTry, TryFailure failure) {
        if (!fakeTry.ended && !fakeTry.cancelled && !fakeTry.answered) {
            fakeTry.ended = true;
            LoadReport report =
                    failure == TryFailure.REFUSED_NOT_RUN
                            ? fakeTry.server.report(nowNanos)
                            : LoadReport.UNKNOWN;
            handle(fakeTry.engine, new Event.TryFailed(fakeTry.order.tryId(), failure, report));
        }
    }
}
