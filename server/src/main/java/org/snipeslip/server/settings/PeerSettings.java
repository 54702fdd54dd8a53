package org.snipeslip.server.settings;

import java.util.List;
import org.snipeslip.core.peer.PeerAddress;

/**
 * Settings of the connections between instances.
 *
 * @param key shared key of all instances; empty if there are no peers
 * @param seeds addresses to try before the platform's instance list is known
 */
public record PeerSettings(String key, List<PeerAddress> seeds) {
    /** An instance without peers. */
    public static final PeerSettings DEFAULT = new PeerSettings("", List.of());

    /** Copies the list. */
    public PeerSettings {
        seeds = List.copyOf(seeds);
    }

    /** Leaves out the key, so that it does not reach a log. */
    @Override
    public String toString() {
        return "PeerSettings[seeds=" + seeds + "]";
    }
}
