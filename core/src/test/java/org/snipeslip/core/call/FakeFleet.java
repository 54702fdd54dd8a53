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
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.OutboxValues;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.once.ClaimEnd;
import org.snipeslip.core.once.ClaimRequest;

/** Call engines and backend servers in virtual time. Late events of cancelled tries do arrive. */
class FakeFleet extends VirtualTime {
    static final long MILLI = 1_000_000;
    private static final double MEAN_SERVICE_NANOS = 2.0 * MILLI;

    final List<CallEngine> engines = new ArrayList<>();
    final List<EngineMirror> mirrors = new ArrayList<>();
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
    private long timersSet;

    FakeFleet(CallSettings settings, int instances, long seed, String... engineDomains) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < instances; i++) {
            FailureDomainId domain = new FailureDomainId(engineDomains[i % engineDomains.length]);
            domains.add(domain);
            engines.add(new CallEngine(settings, Fleets.regionOf(domain), domain, seed + i));
            mirrors.add(new EngineMirror(Fleets.regionOf(domain)));
        }
    }

    void configure(ConfigSet next) {
        next.services().values().stream()
                .flatMap(service -> service.backendServers().stream())
                .forEach(s -> servers.computeIfAbsent(s.id(), id -> new FakeServer(s)));
        for (int i = 0; i < engines.size(); i++) {
            Outbox outbox = new Outbox();
            mirrors.get(i).configured(config, next);
            engines.get(i).configure(next, nowNanos, outbox);
            carryOut(i, outbox);
        }
        config = next;
    }

    FakeServer server(String name) {
        return servers.get(new BackendServerId(name));
    }

    FakeCall arrive(int engine, CallHead head) {
        RequestId request = new RequestId("c" + calls.size());
        FakeCall call = new FakeCall(request, engine, head, nowNanos);
        calls.put(request, call);
        handle(engine, new Event.CallArrived(request, head));
        return call;
    }

    void callerGone(FakeCall call) {
        call.gone = true;
        handle(call.engine, new Event.CallerGone(call.request));
    }

    private void handle(int engine, Event event) {
        mirrors.get(engine).before(event, tries);
        Outbox outbox = new Outbox();
        engines.get(engine).handle(event, nowNanos, outbox);
        carryOut(engine, outbox);
    }

    private void carryOut(int engine, Outbox outbox) {
        for (Action action : outbox.actions()) {
            switch (action) {
                case Action.SendTry a -> send(engine, a);
                case Action.CancelTry a -> cancel(engine, tries.get(a.tryId()));
                case Action.RelayAnswer a -> relay(engine, a.tryId());
                case Action.RefuseCaller a -> {
                    calls.get(a.request()).finals++;
                    calls.get(a.request()).refusal = a.refusal();
                }
                case Action.ReplayAnswer a -> calls.get(a.request()).finals++;
                case Action.SetTimer a -> setTimer(engine, a.timer(), a.delayNanos());
                case Action.SendProbe a -> probe(engine, a);
                case Action.RecordDecision a -> {
                    calls.get(a.decision().request()).records++;
                }
                default -> throw new IllegalStateException(action.toString());
            }
        }
        for (Object value; (value = OutboxValues.poll(outbox)) != null; ) {
            switch (value) {
                case ClaimRequest claim -> later(MILLI, () -> decide(engine, claim));
                case ClaimEnd end -> calls.get(end.request()).ends.add(end.end());
                default -> throw new IllegalStateException(value.toString());
            }
        }
    }

    private void cancel(int engine, FakeTry each) {
        each.cancelled = random.nextBoolean();
        mirrors.get(engine).cancelled(each);
    }

    private void decide(int engine, ClaimRequest claim) {
        boolean refused = random.nextDouble() < claimRefusalRate;
        calls.get(claim.request()).granted = !refused;
        Refusal refusal = Refusal.notRun(RefusalReason.IN_PROGRESS);
        Outbox outbox = new Outbox();
        engines.get(engine)
                .claimDecided(
                        refused
                                ? new ClaimDecision.Refused(claim.request(), refusal)
                                : new ClaimDecision.Granted(claim.request()),
                        nowNanos,
                        outbox);
        carryOut(engine, outbox);
    }

    private void setTimer(int engine, TimerId timer, long delayNanos) {
        long mine = ++timersSet;
        timers.put(engine + timer.key(), mine);
        later(
                delayNanos,
                () -> {
                    if (timers.get(engine + timer.key()) == mine) {
                        handle(engine, new Event.TimerFired(timer));
                    }
                });
    }

    private void probe(int engine, Action.SendProbe order) {
        probes++;
        mirrors.get(engine).probed(order.target(), config, nowNanos);
        FakeServer server = servers.get(order.target().id());
        LoadReport report = server.report();
        Event answer =
                server.down
                        ? new Event.ProbeFailed(order.service(), order.target().id())
                        : new Event.ProbeAnswered(
                                order.service(), order.target().id(), report, 400);
        later(MILLI, () -> handle(engine, answer));
    }

    private void send(int engine, Action.SendTry order) {
        FakeCall call = calls.get(order.tryId().request());
        FakeServer server = servers.get(order.target().id());
        mirrors.get(engine).sending(order, call, config);
        call.sent++;
        extraTries += call.sent > 1 ? 1 : 0;
        FakeTry each = new FakeTry(engine, order, call, server);
        tries.put(order.tryId(), each);
        later(Fleets.delayNanos(domains.get(engine), order.target()), () -> arriveAt(server, each));
        later(order.remainingNanos(), () -> fail(each, TryFailure.TIMED_OUT));
    }

    private void arriveAt(FakeServer server, FakeTry each) {
        if (server.down) {
            fail(each, TryFailure.NOT_CONNECTED);
        } else if (server.isFull()) {
            fail(each, TryFailure.REFUSED_NOT_RUN);
        } else if (server.failsFast) {
            each.call.started++;
            failedFast++;
            answer(each, 500);
        } else if (server.running < server.config.slots()) {
            start(server, each);
        } else {
            server.queue.add(each);
            server.mostHeld = Math.max(server.mostHeld, server.running + server.queue.size());
        }
    }

    private void start(FakeServer server, FakeTry each) {
        each.call.started++;
        server.running++;
        double mean = MEAN_SERVICE_NANOS * server.slowness();
        later(
                (long) (-Math.log(1 - random.nextDouble()) * mean),
                () -> {
                    server.running--;
                    server.served++;
                    boolean broken = server.down || random.nextDouble() < server.breakRate;
                    if (broken) {
                        fail(each, TryFailure.BROKEN_BEFORE_HEAD);
                    } else {
                        answer(each, 200);
                    }
                    while (!server.queue.isEmpty() && server.running < server.config.slots()) {
                        FakeTry next = server.queue.poll();
                        if (!next.cancelled) {
                            start(server, next);
                        }
                    }
                });
    }

    private void answer(FakeTry each, int status) {
        LoadReport report = each.server.report();
        later(
                Fleets.delayNanos(domains.get(each.engine), each.order.target()),
                () -> {
                    if (!each.ended && !each.cancelled) {
                        each.answered = true;
                        TryId id = each.order.tryId();
                        handle(each.engine, new Event.TryAnswered(id, status, report));
                    }
                });
    }

    private void relay(int engine, TryId id) {
        FakeTry each = tries.get(id);
        each.call.finals++;
        each.call.relayedNanos = nowNanos;
        later(
                MILLI / 10,
                () -> {
                    each.ended = true;
                    boolean broken = random.nextDouble() < each.server.breakRate / 2;
                    handle(
                            engine,
                            broken
                                    ? new Event.TryFailed(
                                            id, TryFailure.BROKEN_BODY, LoadReport.UNKNOWN)
                                    : new Event.TryCompleted(id, RecordableAnswer.NONE));
                });
    }

    private void fail(FakeTry each, TryFailure failure) {
        if (!each.ended && !each.cancelled && !each.answered) {
            each.ended = true;
            LoadReport report =
                    failure == TryFailure.REFUSED_NOT_RUN
                            ? each.server.report()
                            : LoadReport.UNKNOWN;
            handle(each.engine, new Event.TryFailed(each.order.tryId(), failure, report));
        }
    }
}
