package org.snipeslip.core.store;

/**
 * Object API budget of one instance.
 *
 * @param callsPerSecond rate at which the token bucket fills; each call takes one token
 * @param burst capacity of the token bucket
 * @param maxInFlight calls without an answer, waiting watches included
 * @param queueLimit calls that may wait for the budget
 * @param queueMaxMillis longest wait of a call that is not a watch
 * @param backOffMinMillis ceiling of the first back-off
 * @param backOffMaxMillis largest ceiling of the back-off
 * @param trialMillis time after which an unanswered trial call no longer holds back the next one
 */
public record StoreSettings(
        int callsPerSecond,
        int burst,
        int maxInFlight,
        int queueLimit,
        long queueMaxMillis,
        long backOffMinMillis,
        long backOffMaxMillis,
        long trialMillis) {
    /**
     * Defaults. 17 instances together stay at half of the 2,000 reads per second that the object
     * API serves, appends of the at-most-once engine included. The largest back-off leaves half of
     * the 3 s in which a configuration spreads after the object API returns.
     */
    public static final StoreSettings DEFAULT =
            new StoreSettings(60, 60, 32, 256, 5_000, 50, 1_500, 500);

    /**
     * Returns the same settings with another rate.
     *
     * @param newCallsPerSecond rate at which the token bucket fills
     * @param newBurst capacity of the token bucket
     * @return the settings
     */
    public StoreSettings withRate(int newCallsPerSecond, int newBurst) {
        return new StoreSettings(
                newCallsPerSecond,
                newBurst,
                maxInFlight,
                queueLimit,
                queueMaxMillis,
                backOffMinMillis,
                backOffMaxMillis,
                trialMillis);
    }
}
