package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.load.Distance;

/**
 * The calls of one service that wait for load reports before they are sent (synchronous probing, as
 * in Prequal). First servers of the own region are asked; if none of them is free, servers of other
 * regions too, as far as the gain is worth the round trip. A probe in flight serves all calls that
 * arrive meanwhile. Guarded by the shard's lock.
 */
final class Placements {
    /** Enough to find a free server with few probes (power of d choices). */
    private static final int NEAR_PROBES = 4;

    /** Probes to other regions are billed by volume. */
    private static final int FAR_PROBES = 2;

    /** Round trips that a probe may take, with the opening of a connection. */
    private static final int ROUND_TRIPS = 3;

    /** Time beside the round trips in which a healthy server answers. */
    private static final long ANSWER_NANOS = 6_000_000;

    private final ServiceId service;
    private final ServerPool pool;
    private final Map<RequestId, Placement> open = new LinkedHashMap<>();
    private final Map<BackendServerId, Long> probedNanos = new HashMap<>();

    Placements(ServiceId service, ServerPool pool) {
        this.service = service;
        this.pool = pool;
    }

    /**
     * Begins to place a call.
     *
     * @return false if no server may take it now, so that there is nothing to ask
     */
    boolean start(CallState call, boolean hedge, String path, long nowNanos, Outbox outbox) {
        List<ServerState> near = pool.probeTargets(call, true, NEAR_PROBES, nowNanos);
        boolean far = near.isEmpty();
        List<ServerState> targets =
                far ? pool.probeTargets(call, false, FAR_PROBES, nowNanos) : near;
        if (targets.isEmpty()) {
            return false;
        }
        Placement placement = new Placement(call, hedge, far);
        open.put(call.request, placement);
        ask(placement, targets, path, nowNanos, outbox);
        return true;
    }

    /**
     * Asks servers of other regions for a call whose own region is busy; false if there are none.
     */
    boolean widen(Placement placement, String path, long nowNanos, Outbox outbox) {
        if (placement.far) {
            return false;
        }
        List<ServerState> targets = pool.probeTargets(placement.call, false, FAR_PROBES, nowNanos);
        if (targets.isEmpty()) {
            return false;
        }
        placement.far = true;
        open.put(placement.call.request, placement);
        ask(placement, targets, path, nowNanos, outbox);
        return true;
    }

    /** Takes an answered or failed probe; returns the calls that can be decided now. */
    List<Placement> answered(BackendServerId id, boolean idle) {
        probedNanos.remove(id);
        List<Placement> ready = new ArrayList<>(1);
        for (Placement placement : List.copyOf(open.values())) {
            if (placement.waitsFor.remove(id) && (idle || placement.waitsFor.isEmpty())) {
                open.remove(placement.call.request);
                ready.add(placement);
                // One idle server is for one call; the others go on waiting.
                idle = false;
            }
        }
        return ready;
    }

    /** Takes out the calls that waited long enough. */
    List<Placement> due(long nowNanos) {
        List<Placement> due = new ArrayList<>(0);
        for (Placement placement : open.values()) {
            if (nowNanos >= placement.dueNanos) {
                due.add(placement);
            }
        }
        due.forEach(placement -> open.remove(placement.call.request));
        return due;
    }

    void remove(CallState call) {
        open.remove(call.request);
    }

    long nextNanos() {
        long next = ShardTimer.NEVER;
        for (Placement placement : open.values()) {
            next = Math.min(next, placement.dueNanos);
        }
        return next;
    }

    private void ask(
            Placement placement,
            List<ServerState> targets,
            String path,
            long nowNanos,
            Outbox outbox) {
        long waitNanos = waitNanos(placement.far);
        placement.dueNanos = nowNanos + waitNanos;
        for (ServerState target : targets) {
            BackendServerId id = target.server.id();
            Long before = probedNanos.get(id);
            if (before == null) {
                probedNanos.put(id, nowNanos);
                outbox.add(new Action.SendProbe(service, target.server, path));
                placement.waitsFor.add(id);
            } else if (nowNanos - before < waitNanos) {
                placement.waitsFor.add(id);
            }
        }
        if (placement.waitsFor.isEmpty()) {
            // All of them are silent; what is known must do.
            placement.dueNanos = nowNanos;
        }
    }

    private static long waitNanos(boolean far) {
        Distance distance = far ? Distance.OTHER_REGION : Distance.OWN_REGION;
        return ROUND_TRIPS * distance.roundTripNanos() + ANSWER_NANOS;
    }

    /** One call that waits for reports. */
    static final class Placement {
        final CallState call;
        final boolean hedge;
        private final Set<BackendServerId> waitsFor = new HashSet<>();
        private boolean far;
        private long dueNanos;

        Placement(CallState call, boolean hedge, boolean far) {
            this.call = call;
            this.hedge = hedge;
            this.far = far;
        }
    }
}
