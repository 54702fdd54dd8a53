package org.snipeslip.server.settings;

import java.util.List;
import org.snipeslip.core.peer.PeerAddress;

/**
 * Settings of the connections between instances.
 *
 * @param key secret shared by all instances; empty if there are no peers
 * @param seeds peer addresses to contact before the instance list of the platform is known
 */
public record PeerSettings(String key, List<PeerAddress> seeds) {
    /** Settings of an instance without peers. */
    public static final PeerSettings DEFAULT = new PeerSettings("", List.of());

    /** Makes a defensive copy of the list. */
    public PeerSettings {
        seeds = List.copyOf(seeds);
    }

    /** Omits the key, so that it is never logged. */
    @Override
    public String toString() {
        return "PeerSettings[seeds=" + seeds + "]";
    }
}
