package org.snipeslip.core.peer;

import java.util.List;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;

/** Messages of failure detection (SWIM). */
public sealed interface MembershipMessage extends PeerMessage {
    /**
     * Returns the facts carried by the message.
     *
     * @return the gossip
     */
    Gossip gossip();

    /**
     * Asks a peer for an {@link Ack}.
     *
     * @param sequence number that the answer carries
     * @param gossip piggybacked facts
     */
    record Ping(long sequence, Gossip gossip) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, or relays the answer to a {@link PingRequest}.
     *
     * @param sequence number of the ping
     * @param gossip piggybacked facts
     */
    record Ack(long sequence, Gossip gossip) implements MembershipMessage {}

    /**
     * Asks a peer to ping a third instance.
     *
     * @param sequence number that the relayed answer carries
     * @param target the instance to ping
     * @param gossip piggybacked facts
     */
    record PingRequest(long sequence, InstanceId target, Gossip gossip)
            implements MembershipMessage {}

    /**
     * Facts carried by every membership message.
     *
     * @param generation configuration in force at the sender
     * @param updates bounded list of member updates, the sender's own first
     */
    record Gossip(Generation generation, List<MemberUpdate> updates) {
        /** Copies the list. */
        public Gossip {
            updates = List.copyOf(updates);
        }
    }
}
