package org.snipeslip.server.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;

/** Simulated backend server with slots, a bounded queue and injected failures. */
final class FakeBackendServer {
    private static final int QUEUE_LIMIT = 8;
    private static final double COLD_FACTOR = 4;

    final String name;
    final String failureDomain;
    final String region;
    final List<StartedCall> starts = new ArrayList<>();
    final List<Long> arrivalNanos = new ArrayList<>();
    double slowFactor = 1;
    int coldCalls;
    boolean failFast;
    boolean draining;
    boolean unreachable;

    private final Simulation simulation;
    private final int slots;
    private final double serviceMillis;
    private final Deque<PendingTry> queue = new ArrayDeque<>();
    private final Map<TryId, PendingTry> running = new HashMap<>();

    FakeBackendServer(
            Simulation simulation, String name, int failureDomain, ScenarioFile scenario) {
        this.simulation = simulation;
        this.name = name;
        this.failureDomain = "fd-" + failureDomain;
        this.region = Simulation.region(failureDomain);
        this.slots = scenario.slots();
        this.serviceMillis = scenario.serviceMillis();
    }

    void accept(SimulatedInstance instance, TryId tryId, String path, String workKey) {
        PendingTry pending = new PendingTry(instance, tryId, path, workKey);
        arrivalNanos.add(simulation.nowNanos);
        if (unreachable) {
            instance.deliver(
                    new Event.TryFailed(tryId, TryFailure.NOT_CONNECTED, LoadReport.UNKNOWN));
        } else if (failFast) {
            starts.add(
                    new StartedCall(
                            simulation.nowNanos,
                            path,
                            workKey,
                            running.size(),
                            false,
                            instance.region));
            answer(pending, 500);
        } else if (running.size() < slots) {
            start(pending);
        } else if (queue.size() < QUEUE_LIMIT) {
            queue.add(pending);
        } else {
            instance.deliver(new Event.TryFailed(tryId, TryFailure.REFUSED_NOT_RUN, load()));
        }
    }

    void cancel(TryId tryId) {
        queue.removeIf(pending -> pending.tryId.equals(tryId));
        if (running.remove(tryId) != null) {
            startNext();
        }
    }

    LoadReport load() {
        return new LoadReport(running.size() + queue.size(), slots, draining, false);
    }

    private void start(PendingTry pending) {
        running.put(pending.tryId, pending);
        starts.add(
                new StartedCall(
                        simulation.nowNanos,
                        pending.path,
                        pending.workKey,
                        running.size() + queue.size(),
                        coldCalls > 0,
                        pending.instance.region));
        double factor = slowFactor * (coldCalls > 0 ? COLD_FACTOR * running.size() : 1);
        double millis = -serviceMillis * Math.log(1 - simulation.random.nextDouble()) * factor;
        simulation.schedule((long) (millis * 1e6), () -> finish(pending));
    }

    private void finish(PendingTry pending) {
        if (running.remove(pending.tryId) == null) {
            return;
        }
        coldCalls = Math.max(0, coldCalls - 1);
        answer(pending, 200);
        startNext();
    }

    private void startNext() {
        if (!queue.isEmpty() && running.size() < slots) {
            start(queue.remove());
        }
    }

    private void answer(PendingTry pending, int status) {
        simulation.lastStatus.put(pending.tryId, status);
        LoadReport load = load();
        simulation.schedule(
                Simulation.NETWORK_NANOS,
                () -> {
                    pending.instance.deliver(new Event.TryAnswered(pending.tryId, status, load));
                    pending.instance.deliver(
                            new Event.TryCompleted(
                                    pending.tryId,
                                    new RecordableAnswer(status, "text/plain", "", true)));
                });
    }

    /** A call that this server started to process, and the state at that moment. */
    record StartedCall(
            long atNanos,
            String path,
            String workKey,
            int heldCalls,
            boolean cold,
            String fromRegion) {}

    /** A try that is queued or running on this server. */
    private record PendingTry(
            SimulatedInstance instance, TryId tryId, String path, String workKey) {}
}
