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

/** Instances, object API, backend servers and callers in virtual time, driven by one thread. */
final class World {
    static final long NETWORK_NANOS = 500_000;
    private static final List<String> REGIONS = List.of("fleuve", "cap-vert", "casamance");
    private static final long REGION_NANOS = 12_000_000;

    final SplittableRandom random;
    final FakeStore store;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, FakeBackendServer> servers = new LinkedHashMap<>();
    final List<CallRecord> calls = new ArrayList<>();
    final Map<TryId, Integer> lastStatus = new HashMap<>();
    final Set<String> lostNodes = new HashSet<>();
    final Set<String> cutRegions = new HashSet<>();
    long nowNanos;
    long generation;

    private final ScenarioFile scenario;
    private final PriorityQueue<Timed> timeline = new PriorityQueue<>();
    private final Map<String, CallRecord> callsById = new HashMap<>();
    private final Map<TryId, FakeBackendServer> serverByTry = new HashMap<>();
    private final ConfigJson codec = new ConfigJson();
    private final Set<String> outOfService = new HashSet<>();
    private final Set<String> drained = new HashSet<>();
    private long headVersion;
    private long sequence;

    World(ScenarioFile scenario) {
        this.scenario = scenario;
        this.random = new SplittableRandom(scenario.seed());
        this.store = new FakeStore(this);
        for (int i = 0; i < scenario.backendServers(); i++) {
            FakeBackendServer server =
                    new FakeBackendServer(
                            this, "marees-" + i, i % scenario.failureDomains(), scenario);
            servers.put(server.name, server);
        }
        publish();
        for (int i = 0; i < scenario.instances(); i++) {
            Node node = new Node(this, i, i % scenario.failureDomains());
            nodes.put(node.name, node);
        }
    }

    static String region(int failureDomain) {
        return REGIONS.get(failureDomain % REGIONS.size());
    }

    void after(long delayNanos, Runnable work) {
        timeline.add(new Timed(nowNanos + Math.max(0, delayNanos), sequence++, work));
    }

    void runUntil(long endNanos) {
        while (!timeline.isEmpty() && timeline.peek().atNanos <= endNanos) {
            Timed next = timeline.remove();
            nowNanos = next.atNanos;
            next.work.run();
        }
        nowNanos = endNanos;
    }

    void publish() {
        List<String> digests = new ArrayList<>();
        for (String text :
                ScenarioObjects.json(scenario, servers.values(), outOfService, drained)) {
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
        drained.add(server);
        publish();
    }

    List<ListedInstance> listed() {
        return nodes.values().stream()
                .map(
                        node ->
                                new ListedInstance(
                                        new InstanceId(node.name),
                                        node.address.host(),
                                        node.address.port(),
                                        new FailureDomainId(node.failureDomain),
                                        false))
                .toList();
    }

    void call(Node node, String name, String method, String path, String key) {
        RequestId request = new RequestId(node.name + "-" + calls.size());
        String workKey = key.isEmpty() ? request.value() : key;
        CallRecord record = new CallRecord(name, method, path, workKey, nowNanos, node);
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
        node.take(new Event.CallArrived(request, head));
    }

    void sendPeer(Node from, Action.SendPeerMessage order) {
        for (Node to : nodes.values()) {
            boolean cut = cutRegions.contains(from.region) != cutRegions.contains(to.region);
            if (to.address.equals(order.address()) && !cut) {
                long delayNanos = from.region.equals(to.region) ? NETWORK_NANOS : REGION_NANOS;
                InstanceId sender = new InstanceId(from.name);
                after(
                        delayNanos,
                        () -> to.take(new Event.PeerMessageReceived(sender, order.message())));
            }
        }
    }

    void probe(Node node, Action.SendProbe order) {
        FakeBackendServer server = servers.get(order.target().id().value());
        after(
                2 * NETWORK_NANOS,
                () ->
                        node.take(
                                new Event.ProbeAnswered(
                                        order.service(), order.target().id(), server.load(), 200)));
    }

    void carryOutCall(Node node, Action action) {
        switch (action) {
            case Action.SendTry a -> {
                CallRecord record = callsById.get(a.tryId().request().value());
                record.tries++;
                FakeBackendServer server = servers.get(a.target().id().value());
                serverByTry.put(a.tryId(), server);
                after(
                        NETWORK_NANOS,
                        () -> server.accept(node, a.tryId(), record.path, record.workKey));
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
            default -> throw new IllegalStateException(action.getClass().getName());
        }
    }

    /** Work at a moment; the sequence keeps the order of equal moments. */
    private record Timed(long atNanos, long sequence, Runnable work) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
