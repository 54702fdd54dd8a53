package org.snipeslip.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/** In-memory object API with versions and conditional writes. */
final class FakeObjectApi {
    final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long lastVersion;

    StoreAnswer apply(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read read -> read(read.key());
            case StoreRequest.Create create -> write(create.key(), create.value(), 0);
            case StoreRequest.Update update ->
                    write(update.key(), update.value(), update.expectedVersion());
            case StoreRequest.Delete delete -> delete(delete);
            case StoreRequest.ListPrefix list -> new StoreAnswer.Listed(list(list.prefix()));
            default -> throw new IllegalArgumentException("unsupported request: " + request);
        };
    }

    List<StoredObject> list(String prefix) {
        return new ArrayList<>(objects.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    private StoreAnswer read(String key) {
        StoredObject object = objects.get(key);
        return object == null ? new StoreAnswer.Absent() : new StoreAnswer.Found(object);
    }

    private StoreAnswer write(String key, String value, long expectedVersion) {
        if (versionOf(key) != expectedVersion) {
            return new StoreAnswer.Conflict();
        }
        lastVersion++;
        objects.put(key, new StoredObject(key, value, lastVersion));
        return new StoreAnswer.Written(lastVersion);
    }

    private StoreAnswer delete(StoreRequest.Delete delete) {
        if (versionOf(delete.key()) != delete.expectedVersion()) {
            return new StoreAnswer.Conflict();
        }
        objects.remove(delete.key());
        return new StoreAnswer.Written(0);
    }

    private long versionOf(String key) {
        StoredObject object = objects.get(key);
        return object == null ? 0 : object.version();
    }
}
