package org.snipeslip.core.rollout;

import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;

/**
 * A change of a rollout at this instance, for the log.
 *
 * @param service the service
 * @param target the new version, or null if there is no order
 * @param kind what has changed
 * @param step the step that this instance follows now, or null before the first
 * @param elapsedMillis time since the order was first seen by any instance that is known here
 * @param detail the evidence, or the outcome of a write
 */
public record RolloutChange(
        ServiceId service,
        ServerVersion target,
        Kind kind,
        RolloutStep step,
        long elapsedMillis,
        String detail) {
    /** What has changed. */
    public enum Kind {
        /** Other versions than before get no calls; the detail names them. */
        BARRED,
        /** An order was seen. */
        ORDERED,
        /** This instance follows another step, which another instance has decided. */
        STEP_FOLLOWED,
        /** This instance has decided on a step. */
        STEP_DECIDED,
        /** The status was written. */
        WRITTEN,
        /** The status was not written. */
        WRITE_FAILED,
        /** The store says how the rollout ended. */
        DECIDED
    }
}
