package org.snipeslip.server.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/** In-memory object API that injects faults or runs concurrent actions at given call numbers. */
final class FakeObjectStore implements ObjectStore {
    /** Fault injected into one call. */
    enum Fault {
        NONE,
        /** The request takes effect, but the answer is lost. */
        LOSE_ANSWER,
        /** The request is lost before it takes effect. */
        LOSE_REQUEST,
        /** The object API is unreachable, and the client knows that nothing was sent. */
        DOWN
    }

    final Map<Integer, Fault> faultByCall = new HashMap<>();
    final Map<Integer, Runnable> actionByCall = new HashMap<>();
    final TreeMap<String, StoredObject> objects = new TreeMap<>();
    boolean down;
    int calls;
    private long version;

    @Override
    public StoreAnswer call(StoreRequest request) {
        int callNumber = calls++;
        Runnable action = actionByCall.remove(callNumber);
        if (action != null) {
            action.run();
        }
        Fault fault = down ? Fault.DOWN : faultByCall.getOrDefault(callNumber, Fault.NONE);
        return switch (fault) {
            case NONE -> execute(request);
            case LOSE_ANSWER -> {
                execute(request);
                yield new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
            }
            case LOSE_REQUEST -> new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
            case DOWN -> new StoreAnswer.Failed(StoreFailure.NOT_SENT);
        };
    }

    private StoreAnswer execute(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read r ->
                    objects.containsKey(r.key())
                            ? new StoreAnswer.Found(objects.get(r.key()))
                            : new StoreAnswer.Absent();
            case StoreRequest.Create r ->
                    objects.containsKey(r.key())
                            ? new StoreAnswer.Conflict()
                            : write(r.key(), r.value());
            case StoreRequest.Update r ->
                    hasVersion(r.key(), r.expectedVersion())
                            ? write(r.key(), r.value())
                            : new StoreAnswer.Conflict();
            case StoreRequest.Delete r -> {
                if (!hasVersion(r.key(), r.expectedVersion())) {
                    yield new StoreAnswer.Conflict();
                }
                objects.remove(r.key());
                yield new StoreAnswer.Written(0);
            }
            case StoreRequest.ListPrefix r ->
                    new StoreAnswer.Listed(
                            new ArrayList<>(
                                    objects.subMap(r.prefix(), r.prefix() + '\uffff').values()));
            default ->
                    throw new IllegalArgumentException(
                            "request type not supported by this fake: " + request);
        };
    }

    private boolean hasVersion(String key, long expectedVersion) {
        return objects.containsKey(key) && objects.get(key).version() == expectedVersion;
    }

    private StoreAnswer write(String key, String value) {
        objects.put(key, new StoredObject(key, value, ++version));
        return new StoreAnswer.Written(version);
    }

    ConfigHead head() {
        StoredObject stored = objects.get(ConfigHead.KEY);
        return stored == null
                ? PublishedConfig.NONE.head()
                : new ConfigJson().decodeHead(stored.value()).get();
    }

    List<String> missingParts() {
        return head().digests().stream()
                .filter(digest -> !objects.containsKey(ConfigHead.PART_PREFIX + digest))
                .toList();
    }

    long parts() {
        return objects.keySet().stream()
                .filter(key -> key.startsWith(ConfigHead.PART_PREFIX))
                .count();
    }
}
