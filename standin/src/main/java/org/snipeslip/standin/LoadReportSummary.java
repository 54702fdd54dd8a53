package org.snipeslip.standin;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Result of a load run.
 *
 * @param latencyMicros latencies of all calls in microseconds
 * @param results number of calls by status code or failure
 */
public record LoadReportSummary(Histogram latencyMicros, Map<String, Long> results) {
    /**
     * Returns a latency percentile.
     *
     * @param percentile from 0 to 100
     * @return the latency in milliseconds
     */
    public double millisAt(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Counts the calls that did not get a 200.
     *
     * @return the number of calls
     */
    public long failures() {
        return latencyMicros.getTotalCount() - results.getOrDefault("200", 0L);
    }
}
