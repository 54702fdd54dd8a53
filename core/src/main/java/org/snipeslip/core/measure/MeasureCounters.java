package org.snipeslip.core.measure;

/**
 * Counters of the measurement budget since the start of the process.
 *
 * @param probes probes sent
 * @param crossRegionProbes those of them that went to other regions
 * @param probeBytes bytes charged, sent and received
 * @param denied probes not sent for lack of a token
 */
public record MeasureCounters(long probes, long crossRegionProbes, long probeBytes, long denied) {}
