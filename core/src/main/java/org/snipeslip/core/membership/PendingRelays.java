package org.snipeslip.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;

/**
 * Pings sent on behalf of other instances whose answers are still to be relayed. When the limit is
 * reached, the oldest is discarded.
 */
final class PendingRelays {
    private static final int LIMIT = 1_024;

    private final Map<Long, Relay> bySequence = new LinkedHashMap<>();

    void add(long sequence, Relay relay) {
        if (bySequence.size() >= LIMIT) {
            bySequence.remove(bySequence.keySet().iterator().next());
        }
        bySequence.put(sequence, relay);
    }

    /**
     * Removes and returns the relay that an answer completes, or returns null if there is none for
     * this sequence number and sender.
     */
    Relay complete(long sequence, InstanceId from) {
        Relay relay = bySequence.get(sequence);
        if (relay == null || !relay.target.equals(from)) {
            return null;
        }
        return bySequence.remove(sequence);
    }

    /**
     * A ping sent on behalf of another instance.
     *
     * @param requester the instance that requested it
     * @param target the instance that is pinged
     * @param sequence sequence number of the answer to the requester
     */
    record Relay(InstanceId requester, InstanceId target, long sequence) {}
}
