package org.snipeslip.core.spread;

import org.snipeslip.core.store.StoreSettings;

/**
 * Settings of membership and configuration spread.
 *
 * @param watchMillis longest wait of one watch call
 * @param retryMinMillis first back-off after a failed object API call
 * @param retryMaxMillis largest back-off
 * @param readsInFlight parts read at once
 * @param store object API budget
 */
public record ControlSettings(
        long watchMillis,
        long retryMinMillis,
        long retryMaxMillis,
        int readsInFlight,
        StoreSettings store) {
    /** Defaults. */
    public static final ControlSettings DEFAULT =
            new ControlSettings(5_000, 100, 10_000, 8, StoreSettings.DEFAULT);
}
