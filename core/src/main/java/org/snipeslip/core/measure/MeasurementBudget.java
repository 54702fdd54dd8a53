package org.snipeslip.core.measure;

/**
 * The measurement budget of one instance, shared by all services. A probe needs a call token and
 * the bytes it is expected to cost. Its actual size is charged when it is known, so that larger
 * answers make later probes rarer. The lock is the last in the lock order.
 */
public final class MeasurementBudget {
    /** Bytes charged in advance: request and response of {@code GET /load} with their headers. */
    public static final int EXPECTED_PROBE_BYTES = 512;

    private final TokenBucket calls;
    private final TokenBucket bytes;
    private final TokenBucket crossRegionCalls;
    private final TokenBucket crossRegionBytes;
    private long probes;
    private long crossRegionProbes;
    private long probeBytes;
    private long denied;

    /**
     * Creates a full budget.
     *
     * @param settings the rates
     */
    public MeasurementBudget(MeasureSettings settings) {
        calls = new TokenBucket(settings.callsPerSecond());
        bytes = new TokenBucket(settings.bytesPerSecond());
        crossRegionCalls = new TokenBucket(settings.crossRegionCallsPerSecond());
        crossRegionBytes = new TokenBucket(settings.crossRegionBytesPerSecond());
    }

    /**
     * Takes the tokens of one probe.
     *
     * @param crossRegion whether it goes to another region
     * @param nowNanos the time
     * @return false if the probe must not be sent
     */
    public synchronized boolean takeProbe(boolean crossRegion, long nowNanos) {
        TokenBucket callTokens = crossRegion ? crossRegionCalls : calls;
        TokenBucket byteTokens = crossRegion ? crossRegionBytes : bytes;
        if (!callTokens.has(1, nowNanos) || !byteTokens.has(EXPECTED_PROBE_BYTES, nowNanos)) {
            denied++;
            return false;
        }
        callTokens.take(1);
        byteTokens.take(EXPECTED_PROBE_BYTES);
        probes++;
        crossRegionProbes += crossRegion ? 1 : 0;
        probeBytes += EXPECTED_PROBE_BYTES;
        return true;
    }

    /**
     * Charges the difference between the actual and the expected size of a probe.
     *
     * @param crossRegion whether it went to another region
     * @param sizeBytes bytes sent and received
     */
    public synchronized void probeEnded(boolean crossRegion, long sizeBytes) {
        long difference = sizeBytes - EXPECTED_PROBE_BYTES;
        if (difference > 0) {
            (crossRegion ? crossRegionBytes : bytes).take(difference);
            probeBytes += difference;
        }
    }

    /**
     * Reads the counters.
     *
     * @return the counters
     */
    public synchronized MeasureCounters counters() {
        return new MeasureCounters(probes, crossRegionProbes, probeBytes, denied);
    }
}
