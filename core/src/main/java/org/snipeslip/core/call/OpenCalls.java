package org.snipeslip.core.call;

import java.util.concurrent.ConcurrentHashMap;
import org.snipeslip.core.id.RequestId;

/** Maps each open call to its shard. Thread-safe; used with and without a shard's lock. */
final class OpenCalls {
    private final ConcurrentHashMap<RequestId, ServiceShard> shards = new ConcurrentHashMap<>();

    void add(RequestId request, ServiceShard shard) {
        shards.put(request, shard);
    }

    void remove(RequestId request) {
        shards.remove(request);
    }

    ServiceShard shardOf(RequestId request) {
        return shards.get(request);
    }

    int size() {
        return shards.size();
    }
}
