package org.snipeslip.server.runtime;

import java.util.function.Consumer;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;

/** A client of the store from which an instance discovers configuration and backend servers. */
public interface DiscoveryStore {
    /**
     * Sends a request without blocking.
     *
     * @param request the request
     * @param consumer receives exactly one response; it is a failure if the store does not respond
     *     within a time limit
     */
    void send(DiscoveryRequest request, Consumer<DiscoveryResponse> consumer);
}
