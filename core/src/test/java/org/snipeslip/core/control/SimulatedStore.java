package org.snipeslip.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.store.ListedInstance;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/**
 * Object API in virtual time that can refuse calls, leave them unanswered, answer slowly or lose
 * answers.
 */
final class SimulatedStore {
    /** Behaviour of the object API. */
    enum Mode {
        UP,
        REFUSING,
        SILENT,
        SLOW,
        LOSING
    }

    private static final long CALL_TIMEOUT_MILLIS = 5_000;

    final List<ListedInstance> instances = new ArrayList<>();
    Mode mode = Mode.UP;
    long calls;
    private final VirtualClock time;
    private final Random random;
    private final TextCodec codec = new TextCodec();
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private long version;

    SimulatedStore(VirtualClock time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Stores a head with its parts and answers the pending watches. */
    void publish(long generation, List<String> texts) {
        List<String> digests = new ArrayList<>();
        for (String text : texts) {
            digests.add(codec.digest(text));
            put(ConfigHead.PART_PREFIX + codec.digest(text), text);
        }
        ConfigHead head = new ConfigHead(new Generation(generation), "w" + generation, digests);
        put(ConfigHead.KEY, codec.encodeHead(head));
        List<PendingWatch> due = new ArrayList<>(pendingWatches);
        pendingWatches.clear();
        due.forEach(
                pendingWatch ->
                        pendingWatch.complete(new StoreAnswer.Found(objects.get(ConfigHead.KEY))));
    }

    /** Fails the pending watches, as the start of an outage does. */
    void breakWatches() {
        List<PendingWatch> failed = new ArrayList<>(pendingWatches);
        pendingWatches.clear();
        failed.forEach(w -> w.complete(new StoreAnswer.Failed(StoreFailure.NO_ANSWER)));
    }

    void call(StoreRequest request, boolean reachable, Consumer<StoreAnswer> answer) {
        calls++;
        long waitMillis = request instanceof StoreRequest.Watch w ? w.waitMillis() : 0;
        boolean lost = mode == Mode.LOSING && random.nextInt(3) == 0;
        if (mode == Mode.SILENT || lost || !reachable) {
            time.after(
                    CALL_TIMEOUT_MILLIS + waitMillis,
                    () -> answer.accept(new StoreAnswer.Failed(StoreFailure.NO_ANSWER)));
        } else if (mode == Mode.REFUSING) {
            time.after(1, () -> answer.accept(new StoreAnswer.Failed(StoreFailure.REFUSED)));
        } else {
            long requestMillis = mode == Mode.SLOW ? random.nextInt(3_000) : 1 + random.nextInt(20);
            time.after(requestMillis, () -> execute(request, answer));
        }
    }

    private void execute(StoreRequest request, Consumer<StoreAnswer> answer) {
        // The state is read now but the answer arrives later, so that answers can overtake each
        // other.
        long delayMillis = mode == Mode.SLOW ? random.nextInt(2_000) : 1 + random.nextInt(10);
        Consumer<StoreAnswer> delayedAnswer = a -> time.after(delayMillis, () -> answer.accept(a));
        switch (request) {
            case StoreRequest.Read r -> delayedAnswer.accept(found(r.key()));
            case StoreRequest.Watch w -> watch(w, delayedAnswer);
            case StoreRequest.ReadInstances r ->
                    delayedAnswer.accept(new StoreAnswer.Instances(List.copyOf(instances)));
            // Calls of the at-most-once engine, whose effects are not simulated.
            case StoreRequest.ListPrefix r ->
                    delayedAnswer.accept(new StoreAnswer.Listed(List.of()));
            case StoreRequest.Create r -> delayedAnswer.accept(new StoreAnswer.Written(1));
            case StoreRequest.Update r -> delayedAnswer.accept(new StoreAnswer.Written(2));
            case StoreRequest.Delete r -> delayedAnswer.accept(new StoreAnswer.Written(0));
        }
    }

    private void watch(StoreRequest.Watch watch, Consumer<StoreAnswer> delayedAnswer) {
        StoredObject object = objects.get(watch.key());
        if ((object == null ? 0 : object.version()) != watch.knownVersion()) {
            delayedAnswer.accept(found(watch.key()));
        } else {
            PendingWatch pendingWatch = new PendingWatch(delayedAnswer);
            pendingWatches.add(pendingWatch);
            time.after(
                    watch.waitMillis(),
                    () -> {
                        pendingWatches.remove(pendingWatch);
                        pendingWatch.complete(new StoreAnswer.Unchanged());
                    });
        }
    }

    private StoreAnswer found(String key) {
        StoredObject object = objects.get(key);
        return object == null ? new StoreAnswer.Absent() : new StoreAnswer.Found(object);
    }

    private void put(String key, String value) {
        objects.put(key, new StoredObject(key, value, ++version));
    }

    /** A watch that is answered at most once. */
    private static final class PendingWatch {
        private Consumer<StoreAnswer> answer;

        PendingWatch(Consumer<StoreAnswer> answer) {
            this.answer = answer;
        }

        void complete(StoreAnswer result) {
            if (answer != null) {
                answer.accept(result);
                answer = null;
            }
        }
    }
}
