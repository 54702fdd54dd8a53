package org.snipeslip.core.rollout;

import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.ServiceId;

/** The versions of all services, shared by the calls and the decisions about rollouts. */
public final class RolloutTable {
    private final RolloutSettings settings;
    private final SplittableRandom random;
    private final ConcurrentHashMap<ServiceId, ServiceVersions> byService =
            new ConcurrentHashMap<>();
    private volatile int instances = 1;

    /**
     * Creates an empty table.
     *
     * @param settings settings, or null if no rollouts are followed
     * @param seed seed of the random choices
     */
    public RolloutTable(RolloutSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the versions of a service.
     *
     * @param service the service
     * @return the versions; without settings, all versions are alike
     */
    public ServiceVersions of(ServiceId service) {
        if (settings == null) {
            return ServiceVersions.UNRESTRICTED;
        }
        return byService.computeIfAbsent(service, unused -> create());
    }

    /**
     * Applies a configuration before the calls do.
     *
     * @param config servers and orders of all services
     */
    public void configure(ConfigSet config) {
        if (settings != null) {
            for (Service service : config.services().values()) {
                of(service.id()).configure(service.backendServers(), config, service.rollout());
            }
        }
    }

    /**
     * Updates the number of instances.
     *
     * @param newInstances instances that share the allowed exposure, at least 1
     */
    public void setInstances(int newInstances) {
        instances = newInstances;
        byService.values().forEach(each -> each.setInstances(newInstances));
    }

    private ServiceVersions create() {
        ServiceVersions versions = new ServiceVersions(settings, splitRandom());
        versions.setInstances(instances);
        return versions;
    }

    private synchronized SplittableRandom splitRandom() {
        return random.split();
    }
}
