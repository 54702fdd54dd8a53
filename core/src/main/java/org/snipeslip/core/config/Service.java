package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.rollout.RolloutEntry;

/**
 * A group of interchangeable backend servers.
 *
 * @param id name of the service
 * @param backendServers its backend servers
 * @param probePath path at which each server reports its load
 * @param rollout the order to move it to another version, or null if there is none
 */
public record Service(
        ServiceId id, List<BackendServer> backendServers, String probePath, RolloutEntry rollout)
        implements ConfigObject {
    /** Probe path of services that configure none. */
    public static final String DEFAULT_PROBE_PATH = "/load";

    /** Copies the list. */
    public Service {
        backendServers = List.copyOf(backendServers);
    }

    /**
     * Creates a service without a rollout.
     *
     * @param id name of the service
     * @param backendServers its backend servers
     * @param probePath path at which each server reports its load
     */
    public Service(ServiceId id, List<BackendServer> backendServers, String probePath) {
        this(id, backendServers, probePath, null);
    }

    /**
     * Creates a service with the default probe path.
     *
     * @param id name of the service
     * @param backendServers its backend servers
     */
    public Service(ServiceId id, List<BackendServer> backendServers) {
        this(id, backendServers, DEFAULT_PROBE_PATH);
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
