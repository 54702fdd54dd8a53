package org.snipeslip.core.rollout;

import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;

/**
 * An order to move a service to another version, and what was decided about it.
 *
 * @param service the service
 * @param target the new version
 * @param durationMillis time after the order within which it has to be decided
 * @param state state of this order, or null if none was written for its version
 * @param revision revision of the entry in the store, a condition of writes
 */
public record RolloutEntry(
        ServiceId service,
        ServerVersion target,
        long durationMillis,
        RolloutState state,
        long revision) {
    /**
     * Returns whether the order was decided.
     *
     * @return false while the rollout runs or has not begun
     */
    public boolean isDecided() {
        return state != null && state.isFinal();
    }

    /**
     * Returns the same order at another revision.
     *
     * @param newRevision the revision
     * @return a copy
     */
    public RolloutEntry at(long newRevision) {
        return new RolloutEntry(service, target, durationMillis, state, newRevision);
    }

    /**
     * Returns the same order in another state.
     *
     * @param newState the state
     * @return a copy
     */
    public RolloutEntry in(RolloutState newState) {
        return new RolloutEntry(service, target, durationMillis, newState, revision);
    }
}
