package org.snipeslip.server.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/**
 * Deletes unreferenced parts after a publication, on a best-effort basis. The candidates are listed
 * before the head is written and are deleted only at their listed version, so a part that a later
 * publication has rewritten is kept.
 */
final class PartCleaner {
    /** Limits the object API calls of one publication; the next publication deletes the rest. */
    private static final int MAX_DELETIONS = 256;

    private final RetryingStore store;
    private final List<StoredObject> candidates;

    PartCleaner(RetryingStore store, ConfigHead previous, ConfigHead next) {
        this.store = store;
        Set<String> referenced = new HashSet<>(previous.digests());
        referenced.addAll(next.digests());
        StoreAnswer answer = store.callOnce(new StoreRequest.ListPrefix(ConfigHead.PART_PREFIX));
        List<StoredObject> parts =
                answer instanceof StoreAnswer.Listed listed ? listed.objects() : List.of();
        candidates =
                parts.stream()
                        .filter(part -> !referenced.contains(PublishedReader.digestOf(part)))
                        .limit(MAX_DELETIONS)
                        .toList();
    }

    /** Deletes the candidates until a call fails, and returns the number of deleted parts. */
    int delete() {
        int deleted = 0;
        for (StoredObject part : candidates) {
            StoreAnswer answer =
                    store.callOnce(new StoreRequest.Delete(part.key(), part.version()));
            if (answer instanceof StoreAnswer.Failed) {
                return deleted;
            }
            deleted += answer instanceof StoreAnswer.Written ? 1 : 0;
        }
        return deleted;
    }
}
