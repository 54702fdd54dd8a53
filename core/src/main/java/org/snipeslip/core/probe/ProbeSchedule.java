package org.snipeslip.core.probe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the backend servers of a service to probe: first those that receive no calls, then those
 * with the oldest load report. While responses arrive often, few reports are outdated, so probes
 * become rare.
 *
 * @param <K> identifier of a backend server
 */
public final class ProbeSchedule<K> {
    /** Time limit after which a probe without a response no longer prevents another one. */
    private static final long PROBE_TIMEOUT_NANOS = 5_000_000_000L;

    private final long staleNanos;
    private final Map<K, Long> pendingSince = new HashMap<>();
    private final List<Candidate<K>> candidates = new ArrayList<>();

    /**
     * Creates a schedule.
     *
     * @param staleNanos age from which a load report is outdated
     */
    public ProbeSchedule(long staleNanos) {
        this.staleNanos = staleNanos;
    }

    /** Starts a new selection, without candidates. */
    public void clearCandidates() {
        candidates.clear();
    }

    /**
     * Adds a backend server to the candidates if its load report is outdated and no probe is
     * pending.
     *
     * @param server the server
     * @param unreachedByCalls whether it receives no calls, so that only a probe shows its state
     * @param ageNanos age of its last load report, or -1 if there was none
     * @param nowNanos the current time
     */
    public void addCandidate(K server, boolean unreachedByCalls, long ageNanos, long nowNanos) {
        Long sentNanos = pendingSince.get(server);
        boolean pending = sentNanos != null && nowNanos - sentNanos < PROBE_TIMEOUT_NANOS;
        long age = ageNanos < 0 ? Long.MAX_VALUE : ageNanos;
        if (!pending && age >= staleNanos) {
            candidates.add(new Candidate<>(server, unreachedByCalls, age));
        }
    }

    /**
     * Returns the servers to probe.
     *
     * @return the candidates, most useful probe first
     */
    public List<K> candidates() {
        candidates.sort(
                (left, right) ->
                        left.unreachedByCalls != right.unreachedByCalls
                                ? Boolean.compare(right.unreachedByCalls, left.unreachedByCalls)
                                : Long.compare(right.ageNanos, left.ageNanos));
        return candidates.stream().map(Candidate::server).toList();
    }

    /**
     * Records that a probe is sent.
     *
     * @param server the server
     * @param nowNanos the current time
     */
    public void recordSent(K server, long nowNanos) {
        pendingSince.put(server, nowNanos);
    }

    /**
     * Records the end of a probe, successful or not.
     *
     * @param server the server
     */
    public void recordEnd(K server) {
        pendingSince.remove(server);
    }

    private record Candidate<K>(K server, boolean unreachedByCalls, long ageNanos) {}
}
