package org.snipeslip.core.spread;

/**
 * Settings of configuration spread.
 *
 * @param watchMillis longest wait of one watch call
 * @param retryMinMillis first back-off after a failed object API call
 * @param retryMaxMillis largest back-off
 * @param readsInFlight parts read at once
 */
public record ControlSettings(
        long watchMillis, long retryMinMillis, long retryMaxMillis, int readsInFlight) {
    /** Defaults. */
    public static final ControlSettings DEFAULT = new ControlSettings(5_000, 100, 10_000, 8);
}
