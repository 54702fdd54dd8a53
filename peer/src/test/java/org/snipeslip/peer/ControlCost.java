package org.snipeslip.peer;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/**
 * Measures the cost of membership and configuration distribution: simulates instances in virtual
 * time on a network without faults. The arguments are pairs of a number of instances and a number
 * of backend servers, which the output calls "engines" and "upstreams". Prints the results of each
 * pair.
 */
final class ControlCost {
    private static final long SECOND = 1_000_000_000;
    private static final int REGIONS = 3;
    private static final int BACKEND_SERVERS_PER_PART = 29;
    private static final int SETTLE_SECONDS = 60;
    private static final int MEASURED_SECONDS = 60;
    private static final int CHANGES = 6;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final List<Map<TimerId, Long>> timers = new ArrayList<>();
    private final int backendServers;
    private long nowNanos;
    private long lastNumber;
    private long version;
    private long sentMessages;
    private long sentBytes;
    private long storeCalls;
    private long cpuNanos;

    private ControlCost(int backendServers) {
        this.backendServers = backendServers;
    }

    private record Task(long atNanos, long number, Runnable action) {}

    public static void main(String[] args) {
        for (int i = 0; i < args.length; i += 2) {
            measure(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1]), i == 0);
        }
    }

    private static void measure(int instanceCount, int backendServers, boolean isFirst) {
        if (isFirst) {
            // An unreported first run, so that the JIT compiler has compiled the code before the
            // measurement.
            new ControlCost(backendServers).run(instanceCount);
        }
        new ControlCost(backendServers).run(instanceCount);
    }

    private void run(int instanceCount) {
        publish(1);
        long heapBefore = usedHeap();
        for (int i = 0; i < instanceCount; i++) {
            add(i);
        }
        run(SETTLE_SECONDS * SECOND);
        double heapKib = (usedHeap() - heapBefore) / 1024.0 / instanceCount;
        long startBytes = sentBytes / instanceCount;
        String rest = measureRates(instanceCount);
        for (int change = 0; change < CHANGES; change++) {
            publish(2 + change);
            run(MEASURED_SECONDS / CHANGES * SECOND);
        }
        String changing = measureRates(instanceCount);
        System.out.printf(
                "engines %d upstreams %d parts %d heap KiB/engine %.0f start B/engine %d%n"
                        + "  at rest   %s%n  changing  %s (%d changes in %d s)%n",
                instanceCount,
                backendServers,
                parts(1).size(),
                heapKib,
                startBytes,
                rest,
                changing,
                CHANGES,
                MEASURED_SECONDS);
        if (instances.stream().anyMatch(i -> i.configInForce().generation().number() != 7)) {
            throw new IllegalStateException("the last generation is not in force everywhere");
        }
    }

    /**
     * Returns the rates since the last reset of the counters and resets them. Before the first
     * change of the configuration it first measures a period without changes.
     */
    private String measureRates(int instanceCount) {
        if (instances.getFirst().configInForce().generation().number() == 1) {
            resetCounters();
            run(MEASURED_SECONDS * SECOND);
        }
        double perInstanceSecond = (double) instanceCount * MEASURED_SECONDS;
        String text =
                "CPU us/s %.1f  messages/s %.2f  B/s %.0f  object API calls/s %.3f (per engine)"
                        .formatted(
                                cpuNanos / 1e3 / perInstanceSecond,
                                sentMessages / perInstanceSecond,
                                sentBytes / perInstanceSecond,
                                storeCalls / perInstanceSecond);
        resetCounters();
        return text;
    }

    private void resetCounters() {
        sentMessages = 0;
        sentBytes = 0;
        storeCalls = 0;
        cpuNanos = 0;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private List<String> parts(long generation) {
        List<String> texts = new ArrayList<>();
        for (int first = 0; first < backendServers; first += BACKEND_SERVERS_PER_PART) {
            StringBuilder text = new StringBuilder(first == 0 ? "generation " + generation : "");
            for (int i = first;
                    i < Math.min(backendServers, first + BACKEND_SERVERS_PER_PART);
                    i++) {
                text.append(
                                "{\"name\":\"service-%d-%d\",\"host\":\"10.0.%d.%d\",\"port\":8080,"
                                        .formatted(first, i, i >> 8, i & 255))
                        .append("\"failureDomain\":\"fleuve-1\",\"slots\":2}");
            }
            texts.add(text.toString());
        }
        return texts;
    }

    private void publish(long generation) {
        List<String> digests = new ArrayList<>();
        for (String text : parts(generation)) {
            String digest = Codec.INSTANCE.digest(text);
            digests.add(digest);
            put(ConfigHead.PART_PREFIX + digest, text);
        }
        ConfigHead head = new ConfigHead(new Generation(generation), "w", digests);
        put(ConfigHead.KEY, Codec.INSTANCE.encodeHead(head));
    }

    private void put(String key, String value) {
        objects.put(key, new StoredObject(key, value, ++version));
    }

    private void add(int index) {
        InstanceSettings settings =
                new InstanceSettings(
                        new InstanceId("instance-" + index),
                        new FailureDomainId("domain-" + index % (2 * REGIONS)),
                        new RegionId("region-" + index % REGIONS),
                        new PeerAddress("10.0.0.1", 1 + index),
                        1_700_000_000_000L,
                        CallSettings.DEFAULT,
                        ControlSettings.DEFAULT.withSeeds(List.of(new PeerAddress("10.0.0.1", 1))),
                        IdempotencySettings.DEFAULT,
                        StopSettings.DEFAULT);
        instances.add(new Instance(settings, Codec.INSTANCE, index));
        timers.add(new HashMap<>());
        after(index * SECOND / 50, () -> handle(index, new Event.Started()));
    }

    private void handle(int index, Event event) {
        long startedNanos = System.nanoTime();
        List<Action> actions = instances.get(index).handle(event, nowNanos);
        cpuNanos += System.nanoTime() - startedNanos;
        actions.forEach(action -> execute(index, action));
    }

    private void deliver(InstanceId from, int index, byte[] frame) {
        try {
            long startedNanos = System.nanoTime();
            PeerMessage message = PeerCodec.decode(PeerCodec.parse(frame));
            cpuNanos += System.nanoTime() - startedNanos;
            handle(index, new Event.PeerMessageReceived(from, message));
        } catch (MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    private void execute(int index, Action action) {
        switch (action) {
            case Action.SendPeerMessage a -> {
                sentMessages++;
                long startedNanos = System.nanoTime();
                byte[] frame = PeerCodec.encode(a.message());
                cpuNanos += System.nanoTime() - startedNanos;
                sentBytes += frame.length + FrameHandler.PREFIX_BYTES;
                InstanceId from = new InstanceId("instance-" + index);
                after(5_000_000, () -> deliver(from, a.address().port() - 1, frame));
            }
            case Action.CallStore a -> {
                storeCalls++;
                call(
                        a.request(),
                        answer -> handle(index, new Event.StoreAnswered(a.call(), answer)));
            }
            case Action.SetTimer a -> {
                long timer = ++lastNumber;
                timers.get(index).put(a.timer(), timer);
                after(
                        a.delayNanos(),
                        () -> {
                            if (timers.get(index).get(a.timer()) == timer) {
                                handle(index, new Event.TimerFired(a.timer()));
                            }
                        });
            }
            default -> {
                // The cost of other actions is not measured.
            }
        }
    }

    /** Answers a read after 2 ms; a watch polls its object every 50 ms until its wait ends. */
    private void call(StoreRequest request, Consumer<StoreAnswer> answer) {
        switch (request) {
            case StoreRequest.Read r ->
                    after(2_000_000, () -> answer.accept(found(objects.get(r.key()))));
            case StoreRequest.Watch w -> watch(w, nowNanos + w.waitMillis() * 1_000_000, answer);
            default -> after(2_000_000, () -> answer.accept(new StoreAnswer.Instances(List.of())));
        }
    }

    private void watch(StoreRequest.Watch watch, long endNanos, Consumer<StoreAnswer> answer) {
        StoredObject object = objects.get(watch.key());
        if (object.version() != watch.knownVersion()) {
            after(2_000_000, () -> answer.accept(found(object)));
        } else if (nowNanos >= endNanos) {
            answer.accept(new StoreAnswer.Unchanged());
        } else {
            after(50_000_000, () -> watch(watch, endNanos, answer));
        }
    }

    private static StoreAnswer found(StoredObject object) {
        // A copy, because in production each instance is a process with its own copy of the text.
        String text = new String(object.value().toCharArray());
        return new StoreAnswer.Found(new StoredObject(object.key(), text, object.version()));
    }

    private void after(long nanos, Runnable action) {
        tasks.add(new Task(nowNanos + nanos, ++lastNumber, action));
    }

    private void run(long nanos) {
        long endNanos = nowNanos + nanos;
        while (!tasks.isEmpty() && tasks.peek().atNanos <= endNanos) {
            Task task = tasks.remove();
            nowNanos = task.atNanos;
            task.action.run();
        }
        nowNanos = endNanos;
    }

    /** Text heads and SHA-256 digests; parts are not parsed. */
    private enum Codec implements ConfigCodec {
        INSTANCE;

        @Override
        public Either<ConfigFault, ConfigHead> decodeHead(String text) {
            String[] fields = text.split("\\|", -1);
            return Either.right(
                    new ConfigHead(
                            new Generation(Long.parseLong(fields[0])),
                            fields[1],
                            List.of(fields[2].split(","))));
        }

        @Override
        public String encodeHead(ConfigHead head) {
            return head.generation() + "|w|" + String.join(",", head.digests());
        }

        @Override
        public Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts) {
            return Either.right(ConfigSet.EMPTY.withGeneration(head.generation()));
        }

        @Override
        public String digest(String text) {
            try {
                MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                return HexFormat.of().formatHex(sha256.digest(bytes));
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
