package org.snipeslip.core.instance;

/**
 * Settings of the planned stop.
 *
 * @param balancerWaitMillis time for the load balancer of the platform to stop opening connections
 * @param timeLimitMillis time limit of the whole stop; calls still open are then ended with an
 *     accurate error response
 */
public record StopSettings(long balancerWaitMillis, long timeLimitMillis) {
    /** The wait is 5 s, because the list of ready instances in the platform lags by seconds. */
    public static final StopSettings DEFAULT = new StopSettings(5_000, 60_000);
}
