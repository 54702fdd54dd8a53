package org.snipeslip.core.rollout;

import java.util.List;
import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;

/**
 * What an instance tells the judge of a rollout.
 *
 * @param service the service
 * @param target the new version
 * @param instance name of the instance
 * @param incarnation distinguishes the starts of the instance, whose counts begin anew
 * @param sequence number of the report; later ones include earlier ones
 * @param step the step that the instance follows
 * @param elapsedMillis time since the instance has seen the order
 * @param counts totals since then
 */
public record RolloutReport(
        ServiceId service,
        ServerVersion target,
        String instance,
        long incarnation,
        long sequence,
        RolloutStep step,
        long elapsedMillis,
        List<VersionCounts> counts) {
    /** Copies the list. */
    public RolloutReport {
        counts = List.copyOf(counts);
    }
}
