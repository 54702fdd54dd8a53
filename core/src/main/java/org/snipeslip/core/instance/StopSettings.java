package org.snipeslip.core.instance;

/**
 * Settings of the planned stop.
 *
 * @param balancerWaitMillis time for the platform's load balancer to stop sending new connections
 * @param timeLimitMillis bound on the whole stop; open calls then get a true answer
 */
public record StopSettings(long balancerWaitMillis, long timeLimitMillis) {
    /** The platform's list lags by seconds, so readiness must be off for a while first. */
    public static final StopSettings DEFAULT = new StopSettings(5_000, 60_000);
}
