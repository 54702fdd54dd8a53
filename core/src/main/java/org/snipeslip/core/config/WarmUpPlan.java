package org.snipeslip.core.config;

/**
 * Duration of the warm-up of a backend server, and its call limit while it is cold.
 *
 * @param coldUntilNanos end of the warm-up on the clock of this instance; {@link #WARM} if the
 *     server is warm
 * @param durationNanos duration of a warm-up after the server returns to service; 0 if unknown
 * @param callsPerSecond maximum number of calls that all instances together may send to the server
 *     in any second while it is cold; 0 for no limit
 */
public record WarmUpPlan(long coldUntilNanos, long durationNanos, int callsPerSecond) {
    /** Value of {@code coldUntilNanos} for a server that is warm. */
    public static final long WARM = Long.MIN_VALUE;

    /** The plan of a server whose warm-up is unknown. */
    public static final WarmUpPlan NONE = new WarmUpPlan(WARM, 0, 0);
}
