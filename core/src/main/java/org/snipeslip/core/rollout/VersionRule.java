package org.snipeslip.core.rollout;

import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.ServerVersion;

/**
 * Which servers of a service may get calls.
 *
 * @param target the new version of an undecided rollout, or null if there is none
 * @param step its step, or null; not a final one
 * @param barred versions that get no calls
 * @param canaries the new servers that get calls in the first step
 */
record VersionRule(
        ServerVersion target,
        RolloutStep step,
        Set<ServerVersion> barred,
        Set<BackendServerId> canaries) {
    static final VersionRule ANY = new VersionRule(null, null, Set.of(), Set.of());

    VersionRule {
        barred = Set.copyOf(barred);
        canaries = Set.copyOf(canaries);
    }

    /** Returns whether calls are divided between two groups of versions. */
    boolean divides() {
        return step != null;
    }

    /** Returns whether a server may get calls at all. */
    boolean allows(BackendServer server) {
        return server.version() == null || !barred.contains(server.version());
    }

    /**
     * Returns whether a server may get a call.
     *
     * @param group the group of the call; null counts as the old one
     */
    boolean allows(BackendServer server, VersionGroup group) {
        if (!allows(server)) {
            return false;
        }
        if (!isNew(server)) {
            return !divides() || group != VersionGroup.NEW;
        }
        return group == VersionGroup.NEW
                && (step != RolloutStep.CANARY || canaries.contains(server.id()));
    }

    boolean isNew(BackendServer server) {
        return target != null && target.equals(server.version());
    }
}
