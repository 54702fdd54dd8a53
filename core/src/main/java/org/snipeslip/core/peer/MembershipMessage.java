package org.snipeslip.core.peer;

import java.util.List;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;

/** Messages of failure detection (SWIM). */
public sealed interface MembershipMessage extends PeerMessage {
    /**
     * Returns the gossip that the message carries.
     *
     * @return the gossip, with the sender as its first update
     */
    Gossip gossip();

    /**
     * Asks a peer for an {@link Ack}.
     *
     * @param sequence number that the answer repeats
     * @param gossip piggybacked gossip
     */
    record Ping(long sequence, Gossip gossip) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, or relays the answer to a {@link PingRequest}.
     *
     * @param sequence number of the ping or ping request
     * @param gossip piggybacked gossip
     */
    record Ack(long sequence, Gossip gossip) implements MembershipMessage {}

    /**
     * Asks a peer to ping a third instance.
     *
     * @param sequence number that the relayed answer repeats
     * @param target the instance to ping
     * @param gossip piggybacked gossip
     */
    record PingRequest(long sequence, InstanceId target, Gossip gossip)
            implements MembershipMessage {}

    /**
     * Data that is piggybacked on every membership message.
     *
     * @param generation generation of the configuration in force at the sender
     * @param updates bounded list of member updates, that of the sender first
     */
    record Gossip(Generation generation, List<MemberUpdate> updates) {
        /** Copies the list. */
        public Gossip {
            updates = List.copyOf(updates);
        }
    }
}
