package org.snipeslip.server.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/** Simulated in-memory object API that can be down, slow, or lose answers to writes. */
final class FakeObjectApi {
    private static final long DELAY_NANOS = 2_000_000;

    final TreeMap<String, StoredObject> objects = new TreeMap<>();
    boolean down;
    double slowMillis;
    double lostAnswers;

    private final Simulation simulation;
    private final List<Watcher> watchers = new ArrayList<>();
    private long lastVersion;

    FakeObjectApi(Simulation simulation) {
        this.simulation = simulation;
    }

    void call(StoreRequest request, Consumer<StoreAnswer> answer) {
        long delayNanos = DELAY_NANOS + (long) (slowMillis * 1e6);
        simulation.schedule(delayNanos, () -> execute(request, answer));
    }

    private void execute(StoreRequest request, Consumer<StoreAnswer> answer) {
        if (down) {
            answer.accept(new StoreAnswer.Failed(StoreFailure.NO_ANSWER));
            return;
        }
        if (request instanceof StoreRequest.Watch watch
                && versionOf(watch.key()) == watch.knownVersion()) {
            Watcher watcher = new Watcher(watch, answer);
            watchers.add(watcher);
            simulation.schedule(watch.waitMillis() * 1_000_000, () -> expire(watcher));
            return;
        }
        StoreAnswer result = apply(request);
        boolean write = result instanceof StoreAnswer.Written;
        boolean lost = write && simulation.random.nextDouble() < lostAnswers;
        StoreAnswer delivered = lost ? new StoreAnswer.Failed(StoreFailure.NO_ANSWER) : result;
        simulation.schedule(DELAY_NANOS, () -> answer.accept(delivered));
    }

    StoreAnswer apply(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read r -> read(r.key());
            case StoreRequest.Watch r -> read(r.key());
            case StoreRequest.Create r ->
                    objects.containsKey(r.key())
                            ? new StoreAnswer.Conflict()
                            : write(r.key(), r.value());
            case StoreRequest.Update r ->
                    versionOf(r.key()) != r.expectedVersion()
                            ? new StoreAnswer.Conflict()
                            : write(r.key(), r.value());
            case StoreRequest.Delete r -> {
                if (versionOf(r.key()) != r.expectedVersion()) {
                    yield new StoreAnswer.Conflict();
                }
                objects.remove(r.key());
                yield new StoreAnswer.Written(0);
            }
            case StoreRequest.ListPrefix r ->
                    new StoreAnswer.Listed(
                            objects.values().stream()
                                    .filter(object -> object.key().startsWith(r.prefix()))
                                    .toList());
            case StoreRequest.ReadInstances r ->
                    new StoreAnswer.Instances(simulation.listedInstances());
        };
    }

    private StoreAnswer read(String key) {
        StoredObject object = objects.get(key);
        return object == null ? new StoreAnswer.Absent() : new StoreAnswer.Found(object);
    }

    private StoreAnswer write(String key, String value) {
        StoredObject object = new StoredObject(key, value, ++lastVersion);
        objects.put(key, object);
        List<Watcher> notified = watchers.stream().filter(w -> w.watch.key().equals(key)).toList();
        watchers.removeAll(notified);
        notified.forEach(w -> simulation.schedule(DELAY_NANOS, () -> w.answer.accept(read(key))));
        return new StoreAnswer.Written(object.version());
    }

    private void expire(Watcher watcher) {
        if (watchers.remove(watcher)) {
            watcher.answer.accept(
                    down
                            ? new StoreAnswer.Failed(StoreFailure.NO_ANSWER)
                            : new StoreAnswer.Unchanged());
        }
    }

    private long versionOf(String key) {
        StoredObject object = objects.get(key);
        return object == null ? 0 : object.version();
    }

    /** A pending watch request. */
    private record Watcher(StoreRequest.Watch watch, Consumer<StoreAnswer> answer) {}
}
