package org.snipeslip.server.settings;

import org.snipeslip.core.store.StoreSettings;

/**
 * Budget of the object API calls of one instance.
 *
 * @param callsPerSecond calls in the long run; a pending watch counts as one
 * @param burst calls that may be saved up
 */
public record ObjectApiBudget(int callsPerSecond, int burst) {
    /** Defaults, those of the decision core. */
    public static final ObjectApiBudget DEFAULT =
            new ObjectApiBudget(
                    StoreSettings.DEFAULT.callsPerSecond(), StoreSettings.DEFAULT.burst());
}
