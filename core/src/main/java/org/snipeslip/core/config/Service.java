package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.id.ServiceId;

/**
 * A group of backend servers that answer the same calls.
 *
 * @param id the name
 * @param backendServers its backend servers
 */
public record Service(ServiceId id, List<BackendServer> backendServers) implements ConfigObject {
    /** Copies the list. */
    public Service {
        backendServers = List.copyOf(backendServers);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.SERVICE;
    }

    @Override
    public String name() {
        return id.value();
    }
}
