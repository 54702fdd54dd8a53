package org.snipeslip.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.ListedInstance;
import org.snipeslip.core.store.StoreSettings;

/** Simulates instances, their network and the object API in virtual time, with injected faults. */
final class SimulatedCluster {
    final VirtualClock time = new VirtualClock();
    final Random random;
    final SimulatedStore store;
    final List<Node> nodes = new ArrayList<>();
    final Set<String> isolatedRegions = new TreeSet<>();
    int lossPercent;
    boolean dropsAnnouncements;
    int duplicatePercent;
    int maxDelayMillis = 20;
    long messages;
    private final ControlSettings settings;

    SimulatedCluster(long seed, int regions, int perRegion) {
        this(seed, regions, perRegion, ControlSettings.DEFAULT);
    }

    SimulatedCluster(long seed, int regions, int perRegion, ControlSettings settings) {
        this.random = new Random(seed);
        this.store = new SimulatedStore(time, random);
        this.settings = settings;
        for (int i = 0; i < regions * perRegion; i++) {
            nodes.add(new Node(i, "r" + i % regions));
        }
        nodes.forEach(node -> store.instances.add(node.listed()));
    }

    void start() {
        nodes.forEach(node -> time.after(random.nextInt(500), node::start));
    }

    /** Ends all faults of the network and of the object API; stopped instances stay stopped. */
    void clearFaults() {
        store.mode = SimulatedStore.Mode.UP;
        isolatedRegions.clear();
        lossPercent = 0;
        duplicatePercent = 0;
        maxDelayMillis = 20;
    }

    List<Node> live() {
        return nodes.stream().filter(node -> node.up).toList();
    }

    private boolean canReach(Node a, Node b) {
        return a.region.equals(b.region)
                || !isolatedRegions.contains(a.region) && !isolatedRegions.contains(b.region);
    }

    private void send(Node from, PeerAddress address, PeerMessage message) {
        messages++;
        checkSize(message);
        int copies = random.nextInt(100) < duplicatePercent ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = dropsAnnouncements && message instanceof ConfigMessage.ConfigAnnounce;
            if (lost || random.nextInt(100) < lossPercent) {
                continue;
            }
            long delay = 1 + random.nextInt(maxDelayMillis);
            time.after(
                    delay,
                    () -> {
                        Node to = nodes.get(address.port());
                        if (canReach(from, to)) {
                            to.handle(new Event.PeerMessageReceived(from.id, message));
                        }
                    });
        }
    }

    private static void checkSize(PeerMessage message) {
        switch (message) {
            case MembershipMessage m ->
                    assertThat(m.gossip().updates()).hasSizeLessThanOrEqualTo(16);
            case ConfigMessage.ConfigFetch m ->
                    assertThat(m.digests()).hasSizeLessThanOrEqualTo(1_024);
            case ConfigMessage.ConfigParts m ->
                    assertThat(m.parts().stream().mapToLong(p -> p.text().length()).sum())
                            .isLessThanOrEqualTo(512 * 1_024);
            default -> {
                // Other messages have no variable size that needs a check.
            }
        }
    }

    /** One instance, with its timers, messages and object API calls in virtual time. */
    final class Node {
        final InstanceId id;
        final String region;
        boolean up;
        Instance instance;
        private final int index;
        private final Map<TimerId, Long> timers = new HashMap<>();
        private final List<Long> storeCallNanos = new ArrayList<>();
        private long incarnation = 1;
        private long runNumber;
        private long lastTimerNumber;
        private long pausedUntilNanos;
        private long adoptedGeneration;
        private int callsInFlight;

        Node(int number, String region) {
            this.index = number;
            this.region = region;
            this.id = new InstanceId("i" + number);
        }

        ListedInstance listed() {
            return new ListedInstance(id, "h", index, new FailureDomainId(region), false);
        }

        void start() {
            InstanceSettings own =
                    new InstanceSettings(
                            id,
                            new FailureDomainId(region),
                            new RegionId(region),
                            new PeerAddress("h", index),
                            incarnation++,
                            CallSettings.DEFAULT,
                            settings,
                            IdempotencySettings.DEFAULT,
                            StopSettings.DEFAULT);
            instance = new Instance(own, new TextCodec(), random.nextLong());
            up = true;
            runNumber++;
            adoptedGeneration = 0;
            storeCallNanos.clear();
            callsInFlight = 0;
            timers.clear();
            handle(new Event.Started());
        }

        void stop() {
            up = false;
            runNumber++;
        }

        void pause(long millis) {
            pausedUntilNanos = time.nowNanos() + millis * VirtualClock.MILLI;
        }

        MemberStatus statusOf(Node other) {
            return member(other).map(MemberUpdate::status).orElse(MemberStatus.DEAD);
        }

        long incarnationOf(Node other) {
            return member(other).map(MemberUpdate::incarnation).orElse(0L);
        }

        private Optional<MemberUpdate> member(Node other) {
            return instance.control().members().members().stream()
                    .filter(member -> member.id().equals(other.id))
                    .findFirst();
        }

        long generation() {
            return instance.configInForce().generation().number();
        }

        void handle(Event event) {
            if (!up) {
                return;
            }
            if (time.nowNanos() < pausedUntilNanos) {
                long runAtStart = runNumber;
                time.afterNanos(
                        pausedUntilNanos - time.nowNanos(),
                        () -> {
                            if (runNumber == runAtStart) {
                                handle(event);
                            }
                        });
                return;
            }
            instance.handle(event, time.nowNanos()).forEach(this::execute);
        }

        private void execute(Action action) {
            switch (action) {
                case Action.SendPeerMessage a -> send(this, a.address(), a.message());
                case Action.CallStore a -> call(a);
                case Action.SetTimer a -> setTimer(a);
                case Action.ConfigAdopted a -> {
                    long generation = a.config().generation().number();
                    assertThat(generation).as("adopted by " + id).isGreaterThan(adoptedGeneration);
                    assertThat(a.config().homeRegions())
                            .as("whole configuration")
                            .containsKey(new RegionId("g" + generation));
                    adoptedGeneration = generation;
                }
                default -> {
                    // Other actions do not concern membership or configuration.
                }
            }
        }

        private void call(Action.CallStore call) {
            checkBudget();
            long runAtStart = runNumber;
            callsInFlight++;
            boolean reachable = !isolatedRegions.contains(region) || region.equals("r0");
            store.call(
                    call.request(),
                    reachable,
                    answer -> {
                        if (runNumber == runAtStart) {
                            callsInFlight--;
                            handle(new Event.StoreAnswered(call.call(), answer));
                        }
                    });
        }

        private void checkBudget() {
            StoreSettings budget = settings.store();
            storeCallNanos.add(time.nowNanos());
            assertThat(callsInFlight).as("in flight").isLessThan(budget.maxInFlight());
            int last = storeCallNanos.size() - 1;
            for (int first = Math.max(0, last - 300); first <= last; first += 7) {
                double seconds = (storeCallNanos.get(last) - storeCallNanos.get(first)) / 1e9;
                assertThat(last - first + 1.0)
                        .as("object API calls of " + id)
                        .isLessThanOrEqualTo(
                                budget.burst() + seconds * budget.callsPerSecond() + 1e-6);
            }
        }

        private void setTimer(Action.SetTimer action) {
            long timer = ++lastTimerNumber;
            long runAtStart = runNumber;
            timers.put(action.timer(), timer);
            time.afterNanos(
                    action.delayNanos(),
                    () -> {
                        if (runNumber == runAtStart && timers.get(action.timer()) == timer) {
                            handle(new Event.TimerFired(action.timer()));
                        }
                    });
        }
    }
}
