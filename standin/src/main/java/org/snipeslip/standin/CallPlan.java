package org.snipeslip.standin;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Calls that a load run sends.
 *
 * @param origins gives the targets at a moment, taken in turn; never empty
 * @param method HTTP method
 * @param path path of the calls
 * @param callsPerSecond rate
 * @param keyPrefix prefix of a distinct idempotency key for each call, or empty for none
 * @param copies how often each call is sent, to different targets at the same time
 * @param headers further header fields
 */
public record CallPlan(
        Supplier<List<URI>> origins,
        String method,
        String path,
        double callsPerSecond,
        String keyPrefix,
        int copies,
        Map<String, String> headers) {
    /** Copies the map. */
    public CallPlan {
        headers = Map.copyOf(headers);
    }

    /**
     * Plans reads without a key.
     *
     * @param origins targets, taken in turn
     * @param path path of the calls
     * @param callsPerSecond rate
     * @return the plan
     */
    public static CallPlan reads(List<URI> origins, String path, double callsPerSecond) {
        return new CallPlan(() -> origins, "GET", path, callsPerSecond, "", 1, Map.of());
    }

    /**
     * Plans keyed calls that must run once.
     *
     * @param origins targets, taken in turn
     * @param path path of the calls
     * @param callsPerSecond rate of distinct keys
     * @param keyPrefix prefix of the keys
     * @param copies how often each key is sent
     * @return the plan
     */
    public static CallPlan keyed(
            List<URI> origins, String path, double callsPerSecond, String keyPrefix, int copies) {
        return new CallPlan(
                () -> origins, "POST", path, callsPerSecond, keyPrefix, copies, Map.of());
    }
}
