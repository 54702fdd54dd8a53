package org.snipeslip.core.probe;

/**
 * The probe budget of one instance, shared by all services. A probe takes a call token and tokens
 * for its expected number of bytes. If it proves larger, the excess is charged afterwards, which
 * delays later probes. The lock is the last in the lock order.
 */
public final class ProbeBudget {
    /** Bytes charged in advance for request and response of {@code GET /load}, headers included. */
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
     * @param settings rates at which the budget is refilled
     */
    public ProbeBudget(ProbeSettings settings) {
        calls = new TokenBucket(settings.callsPerSecond());
        bytes = new TokenBucket(settings.bytesPerSecond());
        crossRegionCalls = new TokenBucket(settings.crossRegionCallsPerSecond());
        crossRegionBytes = new TokenBucket(settings.crossRegionBytesPerSecond());
    }

    /**
     * Takes the tokens of one probe, if there are enough.
     *
     * @param crossRegion whether the probe goes to another region
     * @param nowNanos the current time
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
     * Charges the bytes by which a probe exceeded its expected size.
     *
     * @param crossRegion whether the probe went to another region
     * @param sizeBytes bytes sent and received
     */
    public synchronized void probeEnded(boolean crossRegion, long sizeBytes) {
        long excessBytes = sizeBytes - EXPECTED_PROBE_BYTES;
        if (excessBytes > 0) {
            (crossRegion ? crossRegionBytes : bytes).take(excessBytes);
            probeBytes += excessBytes;
        }
    }

    /**
     * Returns the counters.
     *
     * @return a consistent snapshot
     */
    public synchronized ProbeCounters counters() {
        return new ProbeCounters(probes, crossRegionProbes, probeBytes, denied);
    }
}
