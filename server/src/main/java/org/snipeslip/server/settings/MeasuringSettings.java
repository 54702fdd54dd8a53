package org.snipeslip.server.settings;

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
    /**
     * Defaults. All control traffic of an instance is bounded to 15 KB/s; membership and
     * configuration need the other half.
     */
    public static final MeasuringSettings DEFAULT = new MeasuringSettings(7_500, 50, 750, 5);
}
