package org.snipeslip.core.probe;

/**
 * The probe budget of one instance.
 *
 * @param callsPerSecond maximum rate of probes within the region
 * @param bytesPerSecond maximum rate of the bytes that they send and receive
 * @param crossRegionCallsPerSecond maximum rate of probes to other regions
 * @param crossRegionBytesPerSecond maximum rate of the bytes that these send and receive; traffic
 *     between regions is billed by volume
 * @param staleMillis age from which a load report is outdated and its server may be probed
 */
public record ProbeSettings(
        int callsPerSecond,
        int bytesPerSecond,
        int crossRegionCallsPerSecond,
        int crossRegionBytesPerSecond,
        long staleMillis) {
    /** Disables probes. */
    public static final ProbeSettings OFF = new ProbeSettings(0, 0, 0, 0, 1_000);

    /**
     * A low rate. Servers that receive calls report their load in responses. A server that asked
     * for no more calls receives none, so only a probe shows that it is available again.
     */
    public static final ProbeSettings DEFAULT = new ProbeSettings(4, 4_096, 1, 1_024, 1_000);

    /**
     * Returns whether probes are enabled.
     *
     * @return true if the budget allows any probe, within the region or to other regions
     */
    public boolean isEnabled() {
        return callsPerSecond > 0 || crossRegionCallsPerSecond > 0;
    }
}
