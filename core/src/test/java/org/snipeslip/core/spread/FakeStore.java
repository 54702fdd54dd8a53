package org.snipeslip.core.spread;

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

/** Object API in virtual time that can refuse, stay silent, be slow or lose its answers. */
final class FakeStore {
    /** How the object API behaves. */
    enum Mode {
        UP,
        REFUSING,
        SILENT,
        SLOW,
        LOSING
    }

    private static final long SHELL_TIMEOUT_MILLIS = 5_000;

    final List<ListedInstance> instances = new ArrayList<>();
    Mode mode = Mode.UP;
    long calls;
    private final VirtualTime time;
    private final Random random;
    private final TextCodec codec = new TextCodec();
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long version;

    FakeStore(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Stores a head with its parts and wakes the watches. */
    void publish(long generation, List<String> texts) {
        List<String> digests = new ArrayList<>();
        for (String text : texts) {
            digests.add(codec.digest(text));
            put(ConfigHead.PART_PREFIX + codec.digest(text), text);
        }
        ConfigHead head = new ConfigHead(new Generation(generation), "w" + generation, digests);
        put(ConfigHead.KEY, codec.encodeHead(head));
        List<Waiter> due = new ArrayList<>(waiters);
        waiters.clear();
        due.forEach(waiter -> waiter.end(new StoreAnswer.Found(objects.get(ConfigHead.KEY))));
    }

    /** Breaks the waiting watches, as an outage does. */
    void breakWatches() {
        List<Waiter> broken = new ArrayList<>(waiters);
        waiters.clear();
        broken.forEach(w -> w.end(new StoreAnswer.Failed(StoreFailure.NO_ANSWER)));
    }

    void call(StoreRequest request, boolean reachable, Consumer<StoreAnswer> answer) {
        calls++;
        long waitMillis = request instanceof StoreRequest.Watch w ? w.waitMillis() : 0;
        boolean lost = mode == Mode.LOSING && random.nextInt(3) == 0;
        if (mode == Mode.SILENT || lost || !reachable) {
            time.after(
                    SHELL_TIMEOUT_MILLIS + waitMillis,
                    () -> answer.accept(new StoreAnswer.Failed(StoreFailure.NO_ANSWER)));
        } else if (mode == Mode.REFUSING) {
            time.after(1, () -> answer.accept(new StoreAnswer.Failed(StoreFailure.REFUSED)));
        } else {
            long delay = mode == Mode.SLOW ? random.nextInt(3_000) : 1 + random.nextInt(20);
            time.after(delay, () -> carryOut(request, answer));
        }
    }

    private void carryOut(StoreRequest request, Consumer<StoreAnswer> answer) {
        // The answer is read now and arrives later, so that answers overtake each other.
        long back = mode == Mode.SLOW ? random.nextInt(2_000) : 1 + random.nextInt(10);
        Consumer<StoreAnswer> late = a -> time.after(back, () -> answer.accept(a));
        switch (request) {
            case StoreRequest.Read r -> late.accept(found(r.key()));
            case StoreRequest.Watch w -> watch(w, late);
            case StoreRequest.ReadInstances r ->
                    late.accept(new StoreAnswer.Instances(List.copyOf(instances)));
            // Writes of the at-most-once engine; their effect does not concern this model.
            case StoreRequest.ListPrefix r -> late.accept(new StoreAnswer.Listed(List.of()));
            case StoreRequest.Create r -> late.accept(new StoreAnswer.Written(1));
            case StoreRequest.Update r -> late.accept(new StoreAnswer.Written(2));
            case StoreRequest.Delete r -> late.accept(new StoreAnswer.Written(0));
        }
    }

    private void watch(StoreRequest.Watch watch, Consumer<StoreAnswer> late) {
        StoredObject object = objects.get(watch.key());
        if ((object == null ? 0 : object.version()) != watch.knownVersion()) {
            late.accept(found(watch.key()));
        } else {
            Waiter waiter = new Waiter(late);
            waiters.add(waiter);
            time.after(
                    watch.waitMillis(),
                    () -> {
                        waiters.remove(waiter);
                        waiter.end(new StoreAnswer.Unchanged());
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

    /** A watch that ends once. */
    private static final class Waiter {
        private Consumer<StoreAnswer> answer;

        Waiter(Consumer<StoreAnswer> answer) {
            this.answer = answer;
        }

        void end(StoreAnswer with) {
            if (answer != null) {
                answer.accept(with);
                answer = null;
            }
        }
    }
}
