package org.snipeslip.core.probe;

/**
 * Counters of the probe budget since the start of the process.
 *
 * @param probes probes sent
 * @param crossRegionProbes probes sent to other regions, included in {@code probes}
 * @param probeBytes bytes charged for requests and responses
 * @param denied probes not sent because the budget was exhausted
 */
public record ProbeCounters(long probes, long crossRegionProbes, long probeBytes, long denied) {}
