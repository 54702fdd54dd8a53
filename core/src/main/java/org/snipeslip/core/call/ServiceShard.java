package org.snipeslip.core.call;

import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.measure.MeasurementBudget;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.once.ClaimRequest;

/**
 * The calls and backend servers of one service. Every method takes the shard's own lock, which is
 * the last but one in the lock order; no other shard is locked meanwhile.
 */
final class ServiceShard {
    /** Lines that a dispatch passes over because no server has room for them. */
    private static final int MAX_BLOCKED = 8;

    private final ServiceId service;
    private final CallSettings settings;
    private final ServerPool pool;
    private final ServerFeedback feedback;
    private final ShardQueue queue;
    private final HedgeQueue hedges = new HedgeQueue();
    private final Placements placements;
    private final ShardRetries retries;
    private final ShardProbes probes;
    private final ShardTimer timer;
    private final Decisions decisions;
    private final ShardAdmission admission;
    private final ShardCalls calls;

    ServiceShard(
            ServiceId service,
            CallSettings settings,
            InstancePlace place,
            OpenCalls openCalls,
            MeasurementBudget budget,
            RandomGenerator random) {
        this.service = service;
        this.settings = settings;
        this.pool = new ServerPool(settings, place, random);
        this.feedback = new ServerFeedback(pool);
        this.queue = new ShardQueue(settings, pool.serviceLoad(), random);
        this.retries = new ShardRetries(settings);
        this.placements = new Placements(service, pool);
        this.probes = new ShardProbes(service, pool, settings.measure(), budget);
        this.timer = new ShardTimer(service);
        this.decisions = new Decisions(service);
        this.calls = new ShardCalls(openCalls, decisions);
        this.admission = new ShardAdmission(pool, queue, calls, decisions);
    }

    synchronized void configure(
            ConfigSet config, boolean firstConfig, long nowNanos, Outbox outbox) {
        Service object = config.services().get(service);
        pool.configure(
                object == null ? List.of() : object.backendServers(),
                config,
                firstConfig,
                nowNanos);
        probes.configure(config, nowNanos);
        pool.expectWork(config.routes().values(), service);
        settle(nowNanos, outbox);
    }

    synchronized void fleet(FleetShare share) {
        pool.fleet(share);
        retries.fleet(share);
    }

    synchronized boolean isIdle() {
        return calls.isEmpty();
    }

    synchronized int inFlight() {
        return pool.inFlight();
    }

    synchronized void arrive(CallState call, long nowNanos, Outbox outbox) {
        calls.add(call);
        retries.earn();
        if (call.needsClaim()) {
            call.awaitsClaim = true;
            outbox.claim(
                    new ClaimRequest(
                            call.request,
                            call.head.organisation(),
                            call.route.id(),
                            call.head.idempotencyKey(),
                            call.head.fingerprint(),
                            call.homeRegions,
                            call.deadlineNanos));
        } else {
            admit(call, nowNanos, outbox);
        }
        settle(nowNanos, outbox);
    }

    synchronized void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        CallState call = calls.get(decision.request());
        if (call == null || !call.awaitsClaim) {
            return;
        }
        call.awaitsClaim = false;
        call.claimGranted = decision instanceof ClaimDecision.Granted;
        if (call.callerGone) {
            calls.end(call);
            CallEnds.endUnanswered(call, outbox);
            return;
        }
        switch (decision) {
            case ClaimDecision.Granted granted -> admit(call, nowNanos, outbox);
            case ClaimDecision.Replay replay -> {
                calls.end(call);
                outbox.add(new Action.ReplayAnswer(call.request, replay.answer()));
            }
            case ClaimDecision.Refused refused -> calls.refuse(call, refused.refusal(), outbox);
        }
        settle(nowNanos, outbox);
    }

    synchronized void answered(
            TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry each = call == null ? null : call.openTry(tryId);
        if (each == null || call.winner != null) {
            return;
        }
        hedges.observe(nowNanos - each.sentAtNanos);
        feedback.answered(each, status, load, nowNanos);
        call.winner = each;
        outbox.add(new Action.RelayAnswer(tryId));
        cancelOpenTries(call, nowNanos, outbox);
        settle(nowNanos, outbox);
    }

    synchronized void completed(
            TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry each = call == null ? null : call.openTry(tryId);
        if (each == null || each != call.winner) {
            return;
        }
        each.release();
        calls.end(call);
        CallEnds.endAnswered(call, answer, outbox);
        settle(nowNanos, outbox);
    }

    synchronized void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry each = call == null ? null : call.openTry(tryId);
        if (each == null) {
            return;
        }
        each.release();
        feedback.failed(each, failure, load, nowNanos);
        call.mayHaveStarted |= failure.mayHaveStarted();
        call.bytesSent |= failure.mayHaveSent();
        if (!failure.mayHaveSent()) {
            call.retriesLeft++;
        }
        call.lastFailure = failure;
        if (call.winner != null) {
            calls.end(call);
            CallEnds.endUnanswered(call, outbox);
        } else if (call.openTries() == 0) {
            tryAgain(call, nowNanos, outbox);
        }
        settle(nowNanos, outbox);
    }

    synchronized void callerGone(RequestId request, long nowNanos, Outbox outbox) {
        CallState call = calls.get(request);
        if (call == null) {
            return;
        }
        if (call.awaitsClaim) {
            // The claim may still be granted and must then be ended.
            call.callerGone = true;
            return;
        }
        call.mayHaveStarted |= call.openTries() > 0;
        call.winner = null;
        cancelOpenTries(call, nowNanos, outbox);
        queue.remove(call);
        placements.remove(call);
        calls.end(call);
        CallEnds.endUnanswered(call, outbox);
        settle(nowNanos, outbox);
    }

    /** Ends every open call at the limit of a planned stop; a response being relayed is cut. */
    synchronized void abort(long nowNanos, Outbox outbox) {
        for (CallState call : calls.all()) {
            call.mayHaveStarted |= call.openTries() > 0;
            call.bytesSent |= call.openTries() > 0;
            boolean relayed = call.winner != null;
            call.winner = null;
            cancelOpenTries(call, nowNanos, outbox);
            queue.remove(call);
            if (relayed) {
                calls.end(call);
                CallEnds.endUnanswered(call, outbox);
            } else {
                calls.refuse(call, CallEnds.refusalAtStop(call), outbox);
            }
        }
    }

    synchronized void timerFired(long nowNanos, Outbox outbox) {
        timer.fired();
        if (!queue.isEmpty()) {
            admission.dropExpired(nowNanos, outbox);
        }
        CallState due;
        while ((due = hedges.poll(nowNanos)) != null) {
            hedge(due, nowNanos, outbox);
        }
        probes.timerFired(nowNanos, outbox);
        place(placements.due(nowNanos), nowNanos, outbox);
        settle(nowNanos, outbox);
    }

    synchronized void probeAnswered(
            BackendServerId id, LoadReport load, long sizeBytes, long nowNanos, Outbox outbox) {
        probes.answered(id, sizeBytes);
        ServerState state = pool.find(id);
        if (state != null) {
            feedback.reported(state, load, nowNanos);
        }
        boolean idle = state != null && state.load.isIdle(nowNanos);
        place(placements.answered(id, idle), nowNanos, outbox);
        settle(nowNanos, outbox);
    }

    synchronized void probeFailed(BackendServerId id, long nowNanos, Outbox outbox) {
        probes.failed(id);
        feedback.silent(pool.find(id), nowNanos);
        place(placements.answered(id, false), nowNanos, outbox);
        settle(nowNanos, outbox);
    }

    private void place(List<Placements.Placement> ready, long nowNanos, Outbox outbox) {
        ready.forEach(placement -> place(placement, nowNanos, outbox));
    }

    /** Sends a call whose load reports have come, asks for more of them, or refuses it. */
    private void place(Placements.Placement placement, long nowNanos, Outbox outbox) {
        CallState call = placement.call;
        if (call.isAnsweredOrEnded()) {
            return;
        }
        ServerState chosen = pool.choose(call, nowNanos);
        boolean free = chosen != null && chosen.load.hasFreeSlot(nowNanos);
        boolean near = free || chosen != null && pool.isInTime(call, nowNanos);
        if (!near && placements.widen(placement, probes.path(), nowNanos, outbox)) {
            return;
        }
        if (placement.hedge) {
            if (free && retries.mayHedge(call, nowNanos) && retries.takeHedge()) {
                call.retriesLeft--;
                send(call, chosen, true, nowNanos, outbox);
            }
        } else if (chosen == null) {
            admission.waitOrRefuse(call, nowNanos, outbox);
        } else if (pool.isTooLate(call, free, nowNanos)) {
            admission.refuseBusy(call, outbox);
        } else {
            send(call, chosen, false, nowNanos, outbox);
        }
    }

    /** Sends the call, or lets it wait, or refuses it. */
    private void admit(CallState call, long nowNanos, Outbox outbox) {
        if (nowNanos >= call.deadlineNanos) {
            calls.refuse(call, RefusalReason.DEADLINE_EXCEEDED, 0, outbox);
            return;
        }
        if (pool.isProbed() && placements.start(call, false, probes.path(), nowNanos, outbox)) {
            return;
        }
        if (queue.isEmpty()) {
            ServerState chosen = pool.choose(call, nowNanos);
            if (chosen != null) {
                send(call, chosen, false, nowNanos, outbox);
                return;
            }
        }
        admission.waitOrRefuse(call, nowNanos, outbox);
    }

    private void tryAgain(CallState call, long nowNanos, Outbox outbox) {
        if (retries.takeRetry(call, nowNanos)) {
            call.retriesLeft--;
            admit(call, nowNanos, outbox);
        } else {
            calls.refuse(call, CallEnds.reasonOf(call.lastFailure), 0, outbox);
        }
    }

    private void hedge(CallState call, long nowNanos, Outbox outbox) {
        if (!queue.isEmpty() || !retries.mayHedge(call, nowNanos)) {
            return;
        }
        if (pool.isProbed()) {
            placements.start(call, true, probes.path(), nowNanos, outbox);
            return;
        }
        ServerState chosen = pool.choose(call, nowNanos);
        if (chosen != null && chosen.load.hasFreeSlot(nowNanos) && retries.takeHedge()) {
            call.retriesLeft--;
            send(call, chosen, true, nowNanos, outbox);
        }
    }

    private void send(
            CallState call, ServerState chosen, boolean hedge, long nowNanos, Outbox outbox) {
        List<DecisionRecord.Candidate> candidates = pool.snapshot(nowNanos);
        TryId id = new TryId(call.request, call.tries.size() + 1);
        call.tries.add(new OpenTry(id, chosen, nowNanos));
        feedback.sent(chosen, nowNanos);
        outbox.add(
                new Action.SendTry(
                        id,
                        service,
                        chosen.server,
                        call.deadlineNanos - nowNanos,
                        Math.max(0, call.retriesLeft),
                        call.claimGranted));
        DecisionRecord.Kind kind =
                hedge
                        ? DecisionRecord.Kind.HEDGED
                        : id.number() == 1
                                ? DecisionRecord.Kind.ROUTED
                                : DecisionRecord.Kind.RETRIED;
        decisions.sent(call, kind, chosen.server.id(), candidates, outbox);
        if (settings.hedging() && pool.isAdaptive() && call.mayBeHedged(nowNanos)) {
            hedges.add(call, nowNanos);
        }
    }

    /** Sends waiting calls while there is room, and sets the timer for what is left. */
    private void settle(long nowNanos, Outbox outbox) {
        queue.beginRound();
        int blocked = 0;
        CallState call;
        while (blocked < MAX_BLOCKED && (call = queue.head()) != null) {
            if (queue.isExpired(call, nowNanos)) {
                admission.dropExpired(nowNanos, outbox);
                continue;
            }
            ServerState chosen = pool.choose(call, nowNanos);
            if (chosen != null) {
                queue.take(call, nowNanos);
                send(call, chosen, false, nowNanos, outbox);
            } else if (pool.isBusy()) {
                queue.block(call);
                boolean allBlocked = !call.homeRegions.bound() && call.tries.isEmpty();
                blocked += allBlocked ? MAX_BLOCKED : 1;
            } else {
                queue.remove(call);
                calls.refuse(call, CallEnds.reasonWhenNone(call), 0, outbox);
            }
        }
        long due = Math.min(queue.nextSweepNanos(), probes.nextNanos());
        due = Math.min(due, placements.nextNanos());
        timer.ensure(Math.min(due, hedges.nextNanos()), nowNanos, outbox);
    }

    /** Cancels the open tries, except the one whose answer is relayed. */
    private void cancelOpenTries(CallState call, long nowNanos, Outbox outbox) {
        for (OpenTry each : call.tries) {
            if (each.open && each != call.winner) {
                outbox.add(new Action.CancelTry(each.id));
                each.release();
                feedback.cancelled(each, nowNanos);
            }
        }
    }
}
