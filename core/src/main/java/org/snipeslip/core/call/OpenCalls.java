package org.snipeslip.core.call;

import java.util.concurrent.ConcurrentHashMap;
import org.snipeslip.core.id.RequestId;

/** Maps each open call to its owner. Thread-safe; used with and without the owner's lock. */
final class OpenCalls {
    private final ConcurrentHashMap<RequestId, CallOwner> owners = new ConcurrentHashMap<>();

    void add(RequestId request, CallOwner owner) {
        owners.put(request, owner);
    }

    void remove(RequestId request) {
        owners.remove(request);
    }

    /** Returns the owner of a call; that of one that is not open ignores everything. */
    CallOwner ownerOf(RequestId request) {
        return owners.getOrDefault(request, ClosedCallOwner.INSTANCE);
    }

    int size() {
        return owners.size();
    }
}
