package org.snipeslip.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.ServerVersion;

/**
 * The versions of a service that may get calls without an order. Servers of a new version are
 * started beside the old ones, and may be known before the order that allows them; they get no
 * calls. If servers of the usual versions leave meanwhile, the new ones replace them without an
 * order, and their version becomes usual.
 */
final class UsualVersions {
    private final Set<ServerVersion> usual = new HashSet<>();
    private final Set<ServerVersion> rejected = new HashSet<>();

    /** Versions that are neither, with the number of usual servers when they were first seen. */
    private final Map<ServerVersion, Integer> held = new HashMap<>();

    /**
     * Applies the servers of the service.
     *
     * @param target the new version of an undecided order, or null
     */
    void configure(List<BackendServer> servers, ServerVersion target) {
        Set<ServerVersion> present = new HashSet<>();
        for (BackendServer server : servers) {
            if (server.version() != null) {
                present.add(server.version());
            }
        }
        if (usual.isEmpty()) {
            usual.addAll(present);
            usual.remove(target);
            usual.removeAll(rejected);
        }
        int usualServers =
                (int)
                        servers.stream()
                                .filter(each -> !each.draining())
                                .filter(each -> usual.contains(each.version()))
                                .count();
        held.keySet().retainAll(present);
        for (ServerVersion version : present) {
            if (usual.contains(version) || rejected.contains(version) || version.equals(target)) {
                held.remove(version);
                continue;
            }
            int before = held.computeIfAbsent(version, unused -> usualServers);
            if (usualServers == 0 || usualServers < before) {
                held.remove(version);
                usual.add(version);
            }
        }
    }

    /** Makes a version the only usual one. */
    void complete(ServerVersion target) {
        rejected.addAll(usual);
        usual.clear();
        usual.add(target);
        rejected.remove(target);
        held.remove(target);
    }

    /** Bars a version until it is ordered again. */
    void reject(ServerVersion target) {
        usual.remove(target);
        held.remove(target);
        rejected.add(target);
    }

    /** Ends the rejection of a version that is ordered again. */
    void order(ServerVersion target) {
        rejected.remove(target);
    }

    /** Returns the versions that get no calls. */
    Set<ServerVersion> barred() {
        Set<ServerVersion> barred = new HashSet<>(rejected);
        barred.addAll(held.keySet());
        return barred;
    }

    Collection<ServerVersion> usual() {
        return usual;
    }
}
