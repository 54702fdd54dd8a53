package org.snipeslip.core.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.call.VirtualTime;
import org.snipeslip.core.instance.Action;

/** What a simulated instance has adopted, checked for servers and versions that come back. */
final class AdoptedConfigs {
    private final String instance;
    private final VirtualTime time;
    private final SimulatedStore store;
    private final Set<String> living;
    private final List<String> violations;
    private final Set<String> removedServers = new HashSet<>();
    private Set<String> servers = Set.of();
    private long version = -1;

    AdoptedConfigs(
            String instance,
            VirtualTime time,
            SimulatedStore store,
            Set<String> living,
            List<String> violations) {
        this.instance = instance;
        this.time = time;
        this.store = store;
        this.living = living;
        this.violations = violations;
    }

    Set<String> servers() {
        return servers;
    }

    long version() {
        return version;
    }

    /** Forgets what an earlier process has adopted. */
    void processStarted() {
        servers = Set.of();
        version = -1;
        removedServers.clear();
    }

    /**
     * Checks and keeps a configuration.
     *
     * @param dropsForLackOfNews whether a server may have been dropped only because it was not
     *     heard of
     */
    void adopt(Action.ConfigAdopted adopted, long newVersion, boolean dropsForLackOfNews) {
        Set<String> now = FollowingCheck.serversOf(adopted);
        for (String server : servers) {
            boolean removed = !now.contains(server) && !living.contains(server);
            if (removed && !dropsForLackOfNews) {
                removedServers.add(server);
            }
        }
        // That an entry was written again, and then removed, may not have been heard of.
        now.stream()
                .filter(removedServers::contains)
                .filter(server -> !store.hasRewritten(server))
                .forEach(
                        server ->
                                violations.add(
                                        instance
                                                + " uses removed server "
                                                + server
                                                + " at "
                                                + time.nowNanos() / 1e9));
        if (newVersion < version) {
            violations.add(instance + " went back to version " + newVersion);
        }
        version = newVersion;
        servers = now;
    }
}
