package org.snipeslip.core.store;

/**
 * Limits on the object API calls of one instance.
 *
 * @param callsPerSecond rate at which the token bucket fills; each call takes one token
 * @param burst capacity of the token bucket
 * @param maxInFlight maximum calls in flight, open watches included
 * @param queueLimit maximum calls that wait to be sent
 * @param maxQueueMillis maximum wait of a call that is not a watch
 * @param backOffMinMillis upper limit of the first back-off, doubled with each further failure
 * @param backOffMaxMillis upper limit of every back-off
 * @param trialTimeoutMillis time after which an unanswered trial call no longer blocks the next one
 */
public record StoreSettings(
        int callsPerSecond,
        int burst,
        int maxInFlight,
        int queueLimit,
        long maxQueueMillis,
        long backOffMinMillis,
        long backOffMaxMillis,
        long trialTimeoutMillis) {
    /**
     * Default settings. 17 instances together stay at half of the 2,000 reads per second that the
     * object API serves, appends of the at-most-once engine included. The maximum back-off uses
     * half of the 3 s within which a configuration must spread after the object API recovers.
     */
    public static final StoreSettings DEFAULT =
            new StoreSettings(60, 60, 32, 256, 5_000, 50, 1_500, 500);

    /**
     * Returns a copy of these settings with a different rate.
     *
     * @param newCallsPerSecond rate at which the token bucket fills
     * @param newBurst capacity of the token bucket
     * @return the copy
     */
    public StoreSettings withRate(int newCallsPerSecond, int newBurst) {
        return new StoreSettings(
                newCallsPerSecond,
                newBurst,
                maxInFlight,
                queueLimit,
                maxQueueMillis,
                backOffMinMillis,
                backOffMaxMillis,
                trialTimeoutMillis);
    }
}
