package org.snipeslip.standin;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Calls sent by one load run.
 *
 * @param origins supplies the current targets, used round-robin; the list is never empty
 * @param method HTTP method
 * @param path path of the calls
 * @param callsPerSecond mean rate of the Poisson arrivals
 * @param keyPrefix prefix of a distinct idempotency key for each call, or empty for none
 * @param copies how often each call is sent, to different targets at the same time
 * @param headers additional header fields
 */
public record CallPlan(
        Supplier<List<URI>> origins,
        String method,
        String path,
        double callsPerSecond,
        String keyPrefix,
        int copies,
        Map<String, String> headers) {
    /** Copies the header fields, so that the plan is immutable. */
    public CallPlan {
        headers = Map.copyOf(headers);
    }

    /**
     * Returns a plan of GET calls without an idempotency key.
     *
     * @param origins targets, used round-robin
     * @param path path of the calls
     * @param callsPerSecond mean rate of the Poisson arrivals
     * @return the plan
     */
    public static CallPlan reads(List<URI> origins, String path, double callsPerSecond) {
        return new CallPlan(() -> origins, "GET", path, callsPerSecond, "", 1, Map.of());
    }

    /**
     * Returns a plan of POST calls with an idempotency key, each of which must run once.
     *
     * @param origins targets, used round-robin
     * @param path path of the calls
     * @param callsPerSecond rate of distinct keys
     * @param keyPrefix prefix of the keys
     * @param copies number of calls sent with each key
     * @return the plan
     */
    public static CallPlan keyed(
            List<URI> origins, String path, double callsPerSecond, String keyPrefix, int copies) {
        return new CallPlan(
                () -> origins, "POST", path, callsPerSecond, keyPrefix, copies, Map.of());
    }
}
