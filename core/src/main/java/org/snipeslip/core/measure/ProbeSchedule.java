package org.snipeslip.core.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which backend servers of a service to probe: first those that no call reaches, then those
 * with the oldest report. Few are stale when responses arrive often, so that probes become rare by
 * themselves.
 *
 * @param <K> names a backend server
 */
public final class ProbeSchedule<K> {
    /** A probe without an answer does not stop further ones for longer than this. */
    private static final long ANSWER_LIMIT_NANOS = 5_000_000_000L;

    private final long staleNanos;
    private final Map<K, Long> openSince = new HashMap<>();
    private final List<Stale<K>> stale = new ArrayList<>();

    /**
     * Creates a schedule.
     *
     * @param staleNanos age from which a report is worth a probe
     */
    public ProbeSchedule(long staleNanos) {
        this.staleNanos = staleNanos;
    }

    /** Forgets the servers considered so far. */
    public void begin() {
        stale.clear();
    }

    /**
     * Considers a backend server.
     *
     * @param server its name
     * @param unreachedByCalls whether it gets no calls, so that only a probe tells its state
     * @param ageNanos age of its last report, or -1 if there was none
     * @param nowNanos the time
     */
    public void consider(K server, boolean unreachedByCalls, long ageNanos, long nowNanos) {
        Long since = openSince.get(server);
        boolean open = since != null && nowNanos - since < ANSWER_LIMIT_NANOS;
        long age = ageNanos < 0 ? Long.MAX_VALUE : ageNanos;
        if (!open && age >= staleNanos) {
            stale.add(new Stale<>(server, unreachedByCalls, age));
        }
    }

    /**
     * Returns the servers worth a probe, most useful first.
     *
     * @return the servers
     */
    public List<K> ordered() {
        stale.sort(
                (a, b) ->
                        a.unreachedByCalls != b.unreachedByCalls
                                ? Boolean.compare(b.unreachedByCalls, a.unreachedByCalls)
                                : Long.compare(b.ageNanos, a.ageNanos));
        return stale.stream().map(Stale::server).toList();
    }

    /**
     * Notes that a probe is sent.
     *
     * @param server the server
     * @param nowNanos the time
     */
    public void sent(K server, long nowNanos) {
        openSince.put(server, nowNanos);
    }

    /**
     * Notes the end of a probe.
     *
     * @param server the server
     */
    public void ended(K server) {
        openSince.remove(server);
    }

    private record Stale<K>(K server, boolean unreachedByCalls, long ageNanos) {}
}
