package org.snipeslip.server.runtime;

import java.net.InetSocketAddress;
import java.util.function.Function;
import org.snipeslip.core.discovery.DiscoveryResponse;

/**
 * Settings of the port on which other instances ask for changes.
 *
 * @param address address of the port
 * @param encoder encodes what this instance knows for another one, which decodes it in its {@link
 *     DiscoveryStore}
 */
public record PeerFeedSettings(
        InetSocketAddress address, Function<DiscoveryResponse.PeerChanges, String> encoder) {}
