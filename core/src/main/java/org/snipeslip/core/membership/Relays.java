package org.snipeslip.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import org.snipeslip.core.id.InstanceId;

/** Pings made for other instances whose answer is still to be passed on. The oldest give way. */
final class Relays {
    private static final int LIMIT = 1_024;

    private final Map<Long, Relay> bySequence = new LinkedHashMap<>();

    void add(long sequence, Relay relay) {
        if (bySequence.size() >= LIMIT) {
            bySequence.remove(bySequence.keySet().iterator().next());
        }
        bySequence.put(sequence, relay);
    }

    /** Takes the relay that an answer ends, or null. */
    Relay take(long sequence, InstanceId from) {
        Relay relay = bySequence.get(sequence);
        if (relay == null || !relay.target.equals(from)) {
            return null;
        }
        return bySequence.remove(sequence);
    }

    /**
     * A ping made for another instance.
     *
     * @param requester who asked for it
     * @param target who is pinged
     * @param sequence number that the passed-on answer carries
     */
    record Relay(InstanceId requester, InstanceId target, long sequence) {}
}
