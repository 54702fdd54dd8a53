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
 * in Prequal). Servers of the own region are probed first. If none of them has a free slot or would
 * answer in time, servers of other regions are probed as well; one of them is chosen only if the
 * gain outweighs the extra round trip. Calls that arrive while a probe is in flight share its
 * result. Guarded by the shard's lock.
 */
final class PendingPlacements {
    /** A few random probes are enough to find a free server (power of d choices). */
    private static final int OWN_REGION_PROBES = 4;

    /** Fewer than in the own region, because traffic between regions is billed by volume. */
    private static final int OTHER_REGION_PROBES = 2;

    /** Round trips that a probe may need, including the opening of a connection. */
    private static final int PROBE_ROUND_TRIPS = 3;

    /** Time in addition to the round trips within which a healthy server answers a probe. */
    private static final long PROBE_RESPONSE_NANOS = 6_000_000;

    private final ServiceId service;
    private final ServerPool pool;
    private final Map<RequestId, Placement> pending = new LinkedHashMap<>();
    private final Map<BackendServerId, Long> probeSentNanos = new HashMap<>();

    PendingPlacements(ServiceId service, ServerPool pool) {
        this.service = service;
        this.pool = pool;
    }

    /**
     * Starts probing for a call.
     *
     * @return false if no server is eligible now, so that no probe is sent
     */
    boolean start(CallState call, boolean hedge, String path, long nowNanos, Outbox outbox) {
        List<ServerState> ownRegion = pool.probeTargets(call, true, OWN_REGION_PROBES, nowNanos);
        boolean otherRegions = ownRegion.isEmpty();
        List<ServerState> targets =
                otherRegions
                        ? pool.probeTargets(call, false, OTHER_REGION_PROBES, nowNanos)
                        : ownRegion;
        if (targets.isEmpty()) {
            return false;
        }
        Placement placement = new Placement(call, hedge, otherRegions);
        pending.put(call.request, placement);
        sendProbes(placement, targets, path, nowNanos, outbox);
        return true;
    }

    /**
     * Extends probing to other regions for a call whose own region is busy.
     *
     * @return false if they were probed before or have no eligible server
     */
    boolean probeOtherRegions(Placement placement, String path, long nowNanos, Outbox outbox) {
        if (placement.otherRegions) {
            return false;
        }
        List<ServerState> targets =
                pool.probeTargets(placement.call, false, OTHER_REGION_PROBES, nowNanos);
        if (targets.isEmpty()) {
            return false;
        }
        placement.otherRegions = true;
        pending.put(placement.call.request, placement);
        sendProbes(placement, targets, path, nowNanos, outbox);
        return true;
    }

    /**
     * Handles the end of a probe.
     *
     * @param idle whether the probe was answered by an idle server
     * @return the calls that can be decided now
     */
    List<Placement> probeEnded(BackendServerId id, boolean idle) {
        probeSentNanos.remove(id);
        List<Placement> decidable = new ArrayList<>(1);
        for (Placement placement : List.copyOf(pending.values())) {
            boolean awaited = id.equals(placement.awaited);
            if (placement.pendingProbes.remove(id)
                    && (idle || awaited || placement.pendingProbes.isEmpty())) {
                pending.remove(placement.call.request);
                decidable.add(placement);
                // An idle server serves only one call; the others continue to wait.
                idle = false;
            }
        }
        return decidable;
    }

    /**
     * Lets a call wait on for the probe of a server.
     *
     * @return false if none is pending for the call, or its time limit has passed
     */
    boolean awaitProbe(Placement placement, BackendServerId id, long nowNanos) {
        if (nowNanos >= placement.dueNanos || !placement.pendingProbes.contains(id)) {
            return false;
        }
        placement.awaited = id;
        pending.put(placement.call.request, placement);
        return true;
    }

    /** Removes and returns the calls whose time limit for probes has passed. */
    List<Placement> takeDue(long nowNanos) {
        List<Placement> due = new ArrayList<>(0);
        for (Placement placement : pending.values()) {
            if (nowNanos >= placement.dueNanos) {
                due.add(placement);
            }
        }
        due.forEach(placement -> pending.remove(placement.call.request));
        return due;
    }

    void remove(CallState call) {
        pending.remove(call.request);
    }

    long nextDueNanos() {
        long next = ShardTimer.NEVER;
        for (Placement placement : pending.values()) {
            next = Math.min(next, placement.dueNanos);
        }
        return next;
    }

    private void sendProbes(
            Placement placement,
            List<ServerState> targets,
            String path,
            long nowNanos,
            Outbox outbox) {
        long waitNanos = probeTimeoutNanos(placement.otherRegions);
        placement.dueNanos = nowNanos + waitNanos;
        for (ServerState target : targets) {
            BackendServerId id = target.server.id();
            Long sentNanos = probeSentNanos.get(id);
            if (sentNanos == null) {
                probeSentNanos.put(id, nowNanos);
                outbox.add(new Action.SendProbe(service, target.server, path));
                placement.pendingProbes.add(id);
            } else if (nowNanos - sentNanos < waitNanos) {
                placement.pendingProbes.add(id);
            }
        }
        if (placement.pendingProbes.isEmpty()) {
            // Probes to all of these servers are overdue, so decide with the data at hand.
            placement.dueNanos = nowNanos;
        }
    }

    private static long probeTimeoutNanos(boolean otherRegions) {
        Distance distance = otherRegions ? Distance.OTHER_REGION : Distance.OWN_REGION;
        return PROBE_ROUND_TRIPS * distance.roundTripNanos() + PROBE_RESPONSE_NANOS;
    }

    /** One call that waits for load reports. */
    static final class Placement {
        final CallState call;
        final boolean hedge;
        private final Set<BackendServerId> pendingProbes = new HashSet<>();
        private boolean otherRegions;
        private long dueNanos;

        /** A server whose report is sufficient for a decision although it is not idle, or null. */
        private BackendServerId awaited;

        Placement(CallState call, boolean hedge, boolean otherRegions) {
            this.call = call;
            this.hedge = hedge;
            this.otherRegions = otherRegions;
        }
    }
}
