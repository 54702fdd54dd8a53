package org.snipeslip.server.settings;

import org.snipeslip.core.probe.ProbeSettings;

/**
 * Budget of the measurements of one instance.
 *
 * @param bytesPerSecond bytes of probes and load exchange, sent and received
 * @param callsPerSecond probes and load messages
 * @param crossRegionBytesPerSecond the part of the bytes that may cross regions
 * @param crossRegionCallsPerSecond the part of the calls that may cross regions
 */
public record MeasuringSettings(
        int bytesPerSecond,
        int callsPerSecond,
        int crossRegionBytesPerSecond,
        int crossRegionCallsPerSecond) {
    /** Defaults, those of the decision core. */
    public static final MeasuringSettings DEFAULT =
            new MeasuringSettings(
                    ProbeSettings.DEFAULT.bytesPerSecond(),
                    ProbeSettings.DEFAULT.callsPerSecond(),
                    ProbeSettings.DEFAULT.crossRegionBytesPerSecond(),
                    ProbeSettings.DEFAULT.crossRegionCallsPerSecond());

    /**
     * Returns the budget of probes for the decision core.
     *
     * @return the budget
     */
    public ProbeSettings probes() {
        return new ProbeSettings(
                callsPerSecond,
                bytesPerSecond,
                crossRegionCallsPerSecond,
                crossRegionBytesPerSecond,
                ProbeSettings.DEFAULT.staleMillis());
    }
}
