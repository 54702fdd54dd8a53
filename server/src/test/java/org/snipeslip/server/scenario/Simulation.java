package org.snipeslip.server.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.store.ListedInstance;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.server.config.ConfigJson;

/** Simulates instances, object API, backend servers and callers in virtual time on one thread. */
final class Simulation {
    static final long NETWORK_NANOS = 500_000;
    private static final List<String> REGIONS = List.of("fleuve", "cap-vert", "casamance");
    private static final long REGION_NANOS = 12_000_000;

    final SplittableRandom random;
    final FakeObjectApi store;
    final Map<String, SimulatedInstance> instances = new LinkedHashMap<>();
    final Map<String, FakeBackendServer> servers = new LinkedHashMap<>();
    final List<SimulatedCall> calls = new ArrayList<>();
    final Map<TryId, Integer> lastStatus = new HashMap<>();
    final Set<String> crashedInstances = new HashSet<>();
    final Set<String> cutRegions = new HashSet<>();
    long nowNanos;
    long generation;

    private final ScenarioFile scenario;
    private final PriorityQueue<ScheduledTask> timeline = new PriorityQueue<>();
    private final Map<String, SimulatedCall> callsById = new HashMap<>();
    private final Map<TryId, FakeBackendServer> serverByTry = new HashMap<>();
    private final ConfigJson codec = new ConfigJson();
    private final Set<String> outOfService = new HashSet<>();
    private final Set<String> drainedServers = new HashSet<>();
    private long headVersion;
    private long sequence;

    Simulation(ScenarioFile scenario) {
        this.scenario = scenario;
        this.random = new SplittableRandom(scenario.seed());
        this.store = new FakeObjectApi(this);
        for (int i = 0; i < scenario.backendServers(); i++) {
            FakeBackendServer server =
                    new FakeBackendServer(
                            this, "marees-" + i, i % scenario.failureDomains(), scenario);
            servers.put(server.name, server);
        }
        publish();
        for (int i = 0; i < scenario.instances(); i++) {
            SimulatedInstance instance =
                    new SimulatedInstance(this, i, i % scenario.failureDomains());
            instances.put(instance.name, instance);
        }
    }

    static String region(int failureDomain) {
        return REGIONS.get(failureDomain % REGIONS.size());
    }

    void schedule(long delayNanos, Runnable task) {
        timeline.add(new ScheduledTask(nowNanos + Math.max(0, delayNanos), sequence++, task));
    }

    void runUntil(long endNanos) {
        while (!timeline.isEmpty() && timeline.peek().atNanos <= endNanos) {
            ScheduledTask next = timeline.remove();
            nowNanos = next.atNanos;
            next.task.run();
        }
        nowNanos = endNanos;
    }

    void publish() {
        List<String> digests = new ArrayList<>();
        for (String text :
                ScenarioObjects.json(scenario, servers.values(), outOfService, drainedServers)) {
            String digest = codec.digest(text);
            digests.add(digest);
            store.apply(new StoreRequest.Create(ConfigHead.PART_PREFIX + digest, text));
        }
        generation++;
        String head =
                codec.encodeHead(new ConfigHead(new Generation(generation), "scenario", digests));
        StoreRequest write =
                headVersion == 0
                        ? new StoreRequest.Create(ConfigHead.KEY, head)
                        : new StoreRequest.Update(ConfigHead.KEY, head, headVersion);
        store.apply(write);
        headVersion = store.objects.get(ConfigHead.KEY).version();
    }

    void setInService(String failureDomain, boolean inService) {
        if (inService) {
            outOfService.remove(failureDomain);
        } else {
            outOfService.add(failureDomain);
        }
        publish();
    }

    void drainInConfig(String server) {
        drainedServers.add(server);
        publish();
    }

    List<ListedInstance> listedInstances() {
        return instances.values().stream()
                .map(
                        instance ->
                                new ListedInstance(
                                        new InstanceId(instance.name),
                                        instance.address.host(),
                                        instance.address.port(),
                                        new FailureDomainId(instance.failureDomain),
                                        false))
                .toList();
    }

    void call(SimulatedInstance instance, String name, String method, String path, String key) {
        RequestId request = new RequestId(instance.name + "-" + calls.size());
        String workKey = key.isEmpty() ? request.value() : key;
        SimulatedCall record = new SimulatedCall(name, method, path, workKey, nowNanos, instance);
        calls.add(record);
        callsById.put(request.value(), record);
        CallHead head =
                new CallHead(
                        method,
                        "office.example",
                        path,
                        null,
                        key.isEmpty() ? null : new IdempotencyKey(key),
                        method + " " + path,
                        0,
                        0,
                        -1,
                        true);
        instance.deliver(new Event.CallArrived(request, head));
    }

    void sendPeer(SimulatedInstance from, Action.SendPeerMessage action) {
        for (SimulatedInstance to : instances.values()) {
            boolean cut = cutRegions.contains(from.region) != cutRegions.contains(to.region);
            if (to.address.equals(action.address()) && !cut) {
                long delayNanos = from.region.equals(to.region) ? NETWORK_NANOS : REGION_NANOS;
                InstanceId sender = new InstanceId(from.name);
                schedule(
                        delayNanos,
                        () -> to.deliver(new Event.PeerMessageReceived(sender, action.message())));
            }
        }
    }

    void probe(SimulatedInstance instance, Action.SendProbe action) {
        FakeBackendServer server = servers.get(action.target().id().value());
        schedule(
                2 * NETWORK_NANOS,
                () ->
                        instance.deliver(
                                new Event.ProbeAnswered(
                                        action.service(),
                                        action.target().id(),
                                        server.load(),
                                        200)));
    }

    void executeCallAction(SimulatedInstance instance, Action action) {
        switch (action) {
            case Action.SendTry a -> {
                SimulatedCall record = callsById.get(a.tryId().request().value());
                record.tries++;
                FakeBackendServer server = servers.get(a.target().id().value());
                serverByTry.put(a.tryId(), server);
                schedule(
                        NETWORK_NANOS,
                        () -> server.accept(instance, a.tryId(), record.path, record.workKey));
            }
            case Action.CancelTry a -> serverByTry.get(a.tryId()).cancel(a.tryId());
            case Action.RelayAnswer a ->
                    callsById
                            .get(a.tryId().request().value())
                            .end(Integer.toString(lastStatus.get(a.tryId())), nowNanos);
            case Action.ReplayAnswer a ->
                    callsById
                            .get(a.request().value())
                            .end("replayed:" + a.answer().status(), nowNanos);
            case Action.RefuseCaller a ->
                    callsById
                            .get(a.request().value())
                            .end(
                                    a.refusal().reason().text()
                                            + ":"
                                            + a.refusal().outcome().text(),
                                    nowNanos);
            default ->
                    throw new IllegalStateException(
                            "unexpected action: " + action.getClass().getName());
        }
    }

    /** A task at a virtual time; tasks at the same time run in the order of their sequence. */
    private record ScheduledTask(long atNanos, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
