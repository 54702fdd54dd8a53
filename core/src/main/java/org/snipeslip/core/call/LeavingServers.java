package org.snipeslip.core.call;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.BackendServerId;

/**
 * The incarnations of the backend servers of one service that have said that they will end. What a
 * server says of itself outlives its entry, which may be removed and return, or come from a copy of
 * the store. An incarnation is forgotten when it has not been listed for a while; beyond {@link
 * #MAX_SIZE}, the one that was listed least recently is. Guarded by the shard's lock.
 */
final class LeavingServers {
    /** A fraction of the memory of the states of so many servers. */
    private static final int MAX_SIZE = 4_096;

    /** Longer than an outage of the store during which an entry may be missing. */
    private static final long KEPT_NANOS = 600_000_000_000L;

    /** When each incarnation was listed last, the most recent one at the end. */
    private final Map<Incarnation, Long> listedNanos = new LinkedHashMap<>();

    void add(BackendServer server, long nowNanos) {
        putLast(new Incarnation(server.id(), server.incarnation()), nowNanos);
        if (listedNanos.size() > MAX_SIZE) {
            Iterator<Incarnation> oldest = listedNanos.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether a listed server is leaving, and keeps this knowledge for longer if so. */
    boolean isLeaving(BackendServer server, long nowNanos) {
        Incarnation incarnation = new Incarnation(server.id(), server.incarnation());
        if (!listedNanos.containsKey(incarnation)) {
            return false;
        }
        putLast(incarnation, nowNanos);
        return true;
    }

    /** Forgets the incarnations that have not been listed for a while. */
    void expire(long nowNanos) {
        Iterator<Long> listed = listedNanos.values().iterator();
        while (listed.hasNext() && nowNanos - listed.next() > KEPT_NANOS) {
            listed.remove();
        }
    }

    int size() {
        return listedNanos.size();
    }

    private void putLast(Incarnation incarnation, long nowNanos) {
        listedNanos.remove(incarnation);
        listedNanos.put(incarnation, nowNanos);
    }

    /** One start of a server. */
    private record Incarnation(BackendServerId id, long incarnation) {}
}
