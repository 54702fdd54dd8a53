package org.snipeslip.server.settings;

import org.snipeslip.core.probe.ProbeSettings;

/**
 * Rate limits for the probes and load messages of one instance.
 *
 * @param bytesPerSecond bytes of probes and load messages, sent and received
 * @param callsPerSecond number of probes and load messages
 * @param crossRegionBytesPerSecond share of bytesPerSecond allowed between regions
 * @param crossRegionCallsPerSecond share of callsPerSecond allowed between regions
 */
public record MeasurementBudget(
        int bytesPerSecond,
        int callsPerSecond,
        int crossRegionBytesPerSecond,
        int crossRegionCallsPerSecond) {
    /** The defaults of the decision core. */
    public static final MeasurementBudget DEFAULT =
            new MeasurementBudget(
                    ProbeSettings.DEFAULT.bytesPerSecond(),
                    ProbeSettings.DEFAULT.callsPerSecond(),
                    ProbeSettings.DEFAULT.crossRegionBytesPerSecond(),
                    ProbeSettings.DEFAULT.crossRegionCallsPerSecond());

    /**
     * Converts these limits to the settings of the decision core.
     *
     * @return the settings, with the default time after which a measurement is stale
     */
    public ProbeSettings probeSettings() {
        return new ProbeSettings(
                callsPerSecond,
                bytesPerSecond,
                crossRegionCallsPerSecond,
                crossRegionBytesPerSecond,
                ProbeSettings.DEFAULT.staleMillis());
    }
}
