package org.snipeslip.core.measure;

/**
 * Budget of probes of one instance.
 *
 * @param callsPerSecond probes within the region
 * @param bytesPerSecond their bytes, sent and received
 * @param crossRegionCallsPerSecond probes to other regions
 * @param crossRegionBytesPerSecond their bytes; links between regions are billed by volume
 * @param staleMillis age from which a load report is worth a probe
 */
public record MeasureSettings(
        int callsPerSecond,
        int bytesPerSecond,
        int crossRegionCallsPerSecond,
        int crossRegionBytesPerSecond,
        long staleMillis) {
    /** Probes are off. */
    public static final MeasureSettings OFF = new MeasureSettings(0, 0, 0, 0, 1_000);

    /**
     * A trickle. Responses carry the load of servers that get calls; a server that asked for no
     * more work gets none, so only a probe shows that it is back.
     */
    public static final MeasureSettings DEFAULT = new MeasureSettings(4, 4_096, 1, 1_024, 1_000);

    /**
     * Tells whether any probe is allowed.
     *
     * @return true if the budget is above zero
     */
    public boolean isEnabled() {
        return callsPerSecond > 0 || crossRegionCallsPerSecond > 0;
    }
}
