package org.snipeslip.server.settings;

import org.snipeslip.core.store.StoreSettings;

/**
 * Rate limit for the object API calls of one instance (token bucket).
 *
 * @param callsPerSecond sustained rate; a pending watch counts as one call
 * @param burst maximum number of unused calls that accumulate
 */
public record ObjectApiBudget(int callsPerSecond, int burst) {
    /** The defaults of the decision core. */
    public static final ObjectApiBudget DEFAULT =
            new ObjectApiBudget(
                    StoreSettings.DEFAULT.callsPerSecond(), StoreSettings.DEFAULT.burst());
}
