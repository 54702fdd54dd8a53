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
     * Defaults. The largest back-off leaves half of the 3 s in which a configuration spreads after
     * the object API returns.
     */
    public static final StoreSettings DEFAULT =
            new StoreSettings(100, 100, 32, 256, 5_000, 50, 1_500, 500);
}
