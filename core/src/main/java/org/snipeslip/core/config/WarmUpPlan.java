package org.snipeslip.core.config;

/**
 * What a backend server bears while it is cold.
 *
 * @param coldUntilNanos end of the warm-up on the instance's clock; {@link #WARM} if it is warm
 * @param durationNanos how long the server stays cold after it came back; 0 if unknown
 * @param callsPerSecond calls that all instances together may send it in any second while it is
 *     cold; 0 for no bound
 */
public record WarmUpPlan(long coldUntilNanos, long durationNanos, int callsPerSecond) {
    /** End of the warm-up of a server that is warm. */
    public static final long WARM = Long.MIN_VALUE;

    /** No warm-up is known. */
    public static final WarmUpPlan NONE = new WarmUpPlan(WARM, 0, 0);
}
