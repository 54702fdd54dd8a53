package org.snipeslip.standin;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Result of a load run.
 *
 * @param latencyMicros latencies of the calls answered with 200, in microseconds
 * @param results number of calls by status code, refusal reason or failure
 */
public record LoadResult(Histogram latencyMicros, Map<String, Long> results) {
    /** Result of a successful call. */
    public static final String OK = "200";

    /**
     * Returns a latency percentile.
     *
     * @param percentile from 0 to 100
     * @return the latency in milliseconds
     */
    public double latencyMillisAt(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Counts all calls.
     *
     * @return the number of calls
     */
    public long calls() {
        return results.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Counts the calls that were not answered with 200.
     *
     * @return the number of calls
     */
    public long failures() {
        return calls() - results.getOrDefault(OK, 0L);
    }
}
