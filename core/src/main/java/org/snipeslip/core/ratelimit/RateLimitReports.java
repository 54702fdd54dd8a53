package org.snipeslip.core.ratelimit;

/**
 * The last rate limit that a backend server named, and when its change may be logged. A server may
 * name another limit in each response, so most of such changes are not logged.
 */
public final class RateLimitReports {
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

    private RateLimit logged = RateLimit.UNLIMITED;
    private long loggedNanos;

    /**
     * Compares a report with the last one that was logged.
     *
     * @param reported what a response says
     * @param nowNanos the current time
     * @return the limit that was logged before, or null if no line is to be logged now
     */
    public RateLimit replaceLogged(RateLimit reported, long nowNanos) {
        boolean sameAsLogged = reported.equals(logged) || reported.equals(RateLimit.UNKNOWN);
        boolean first = logged.equals(RateLimit.UNLIMITED);
        if (sameAsLogged || !first && nowNanos - loggedNanos < LOG_INTERVAL_NANOS) {
            return null;
        }
        RateLimit before = logged;
        logged = reported;
        loggedNanos = nowNanos;
        return before;
    }
}
