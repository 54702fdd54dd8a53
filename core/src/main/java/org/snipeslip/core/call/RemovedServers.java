package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.BackendServerId;

/**
 * The servers of one service that are no longer listed, or were started anew, as long as calls are
 * in flight to them or they may return soon. Guarded by the shard's lock.
 */
final class RemovedServers {
    /** Removed servers whose state is reused if they are added again soon. */
    private final Map<BackendServerId, ServerState> detached = new HashMap<>();

    /** Earlier incarnations of restarted servers, with calls in flight. */
    private final List<ServerState> restarted = new ArrayList<>(0);

    /** Returns the state of a server that is listed again, or null. */
    ServerState takeBack(BackendServerId id) {
        return detached.remove(id);
    }

    void add(Map<BackendServerId, ServerState> removed, long nowNanos) {
        detached.putAll(removed);
        detached.values().removeIf(state -> state.isForgettable(nowNanos));
    }

    /** Keeps counting the calls in flight to the earlier incarnation of a restarted server. */
    void addRestarted(ServerState old) {
        if (old.load.inFlight() > 0) {
            restarted.removeIf(state -> state.load.inFlight() == 0);
            restarted.add(old);
        }
    }

    int inFlight() {
        int sum = 0;
        for (ServerState state : detached.values()) {
            sum += state.load.inFlight();
        }
        for (ServerState state : restarted) {
            sum += state.load.inFlight();
        }
        return sum;
    }
}
