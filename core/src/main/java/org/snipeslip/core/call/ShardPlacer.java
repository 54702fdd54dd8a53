package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.instance.Outbox;

/**
 * Decides where calls go whose servers were probed, and about hedges. Guarded by the shard's lock.
 */
final class ShardPlacer {
    private final ServerPool pool;
    private final PendingPlacements placements;
    private final ShardProbes probes;
    private final ShardQueue queue;
    private final ShardRetries retries;
    private final ShardSender sender;
    private final ShardAdmission admission;
    private final ShardShares shares;

    ShardPlacer(
            ServerPool pool,
            PendingPlacements placements,
            ShardProbes probes,
            ShardQueue queue,
            ShardRetries retries,
            ShardSender sender,
            ShardAdmission admission,
            ShardShares shares) {
        this.pool = pool;
        this.placements = placements;
        this.probes = probes;
        this.queue = queue;
        this.retries = retries;
        this.sender = sender;
        this.admission = admission;
        this.shares = shares;
    }

    /** Decides about calls whose probes have ended. */
    void decide(List<PendingPlacements.Placement> decidable, long nowNanos, Outbox outbox) {
        decidable.forEach(placement -> decide(placement, nowNanos, outbox));
    }

    /**
     * Decides about a call whose probes have ended: sends, queues or refuses it, or probes servers
     * of other regions. A hedge that finds no free slot is not sent.
     */
    private void decide(PendingPlacements.Placement placement, long nowNanos, Outbox outbox) {
        CallState call = placement.call;
        if (call.isAnsweredOrEnded()) {
            return;
        }
        ServerState chosen = pool.choose(call, nowNanos);
        if (chosen != null && pool.mayExceedColdLimit(chosen, nowNanos)) {
            if (placements.awaitProbe(placement, chosen.server.id(), nowNanos)) {
                return;
            }
            chosen = pool.chooseWithinColdLimit(call, nowNanos);
        }
        boolean freeSlot = chosen != null && chosen.load.hasFreeSlot(nowNanos);
        boolean soonEnough = freeSlot || chosen != null && pool.meetsTarget(call, nowNanos);
        if (!soonEnough
                && placements.probeOtherRegions(placement, probes.path(), nowNanos, outbox)) {
            return;
        }
        if (chosen != null && !placement.hedge) {
            shares.placed(call, soonEnough, nowNanos);
        }
        if (placement.hedge) {
            if (freeSlot && retries.mayHedge(call, nowNanos) && retries.takeHedge()) {
                call.retriesLeft--;
                sender.send(call, chosen, true, nowNanos, outbox);
            }
        } else if (chosen == null) {
            admission.enqueueOrRefuse(call, nowNanos, outbox);
        } else if (pool.isTooSlow(call, freeSlot, nowNanos)) {
            admission.refuseOverloaded(call, nowNanos, outbox);
        } else {
            sender.send(call, chosen, false, nowNanos, outbox);
        }
    }

    /** Sends a hedge for a call that takes long, or starts probing for it. */
    void hedge(CallState call, long nowNanos, Outbox outbox) {
        if (!queue.isEmpty() || !retries.mayHedge(call, nowNanos)) {
            return;
        }
        if (pool.probesEachCall()) {
            placements.start(call, true, probes.path(), nowNanos, outbox);
            return;
        }
        ServerState chosen = pool.choose(call, nowNanos);
        if (chosen != null && chosen.load.hasFreeSlot(nowNanos) && retries.takeHedge()) {
            call.retriesLeft--;
            sender.send(call, chosen, true, nowNanos, outbox);
        }
    }
}
