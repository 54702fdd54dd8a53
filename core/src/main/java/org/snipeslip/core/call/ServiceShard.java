package org.snipeslip.core.call;

import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.probe.ProbeBudget;
import org.snipeslip.core.rollout.ServiceVersions;
import org.snipeslip.core.suspect.SuspectAnswer;
import org.snipeslip.core.suspect.SuspectTable;
import org.snipeslip.core.suspect.Verdict;

/**
 * The calls and backend servers of one service. Every method for callers acquires the shard's own
 * lock, which is the last but one in the lock order; no other shard is locked at the same time.
 */
final class ServiceShard implements CallOwner {
    /** Flows that one dispatch may skip because no server has room for their calls. */
    private static final int MAX_BLOCKED_FLOWS = 8;

    private final ServiceId service;
    private final Detour detour;
    private final ServerPool pool;
    private final ServerFeedback feedback;
    private final ShardQueue queue;
    private final HedgeQueue hedgeQueue = new HedgeQueue();
    private final PendingPlacements placements;
    private final ShardRetries retries;
    private final ShardProbes probes;
    private final ShardTimer timer;
    private final DecisionRecorder decisions;
    private final ShardAdmission admission;
    private final ShardCalls calls;
    private final ShardSuspects suspects;
    private final ShardSender sender;
    private final ShardPlacer placer;

    ServiceShard(
            ServiceId service,
            CallSettings settings,
            InstanceLocation location,
            OpenCalls openCalls,
            ProbeBudget budget,
            SuspectTable suspectTable,
            Detour detour,
            ServiceVersions versions,
            RandomGenerator random) {
        this.service = service;
        this.detour = detour;
        this.pool = new ServerPool(settings, location, versions, random);
        this.queue = new ShardQueue(settings, pool.serviceLoad(), random);
        this.retries = new ShardRetries(settings);
        this.placements = new PendingPlacements(service, pool);
        this.probes = new ShardProbes(service, pool, settings.probeSettings(), budget);
        this.feedback = new ServerFeedback(service, pool, probes, detour);
        this.timer = new ShardTimer(service);
        this.decisions = new DecisionRecorder(service);
        this.calls = new ShardCalls(openCalls, detour, decisions);
        ShardShares shares = new ShardShares(service, pool, random);
        this.admission = new ShardAdmission(pool, queue, calls, decisions, shares);
        this.suspects = new ShardSuspects(service, location.region(), pool, probes, suspectTable);
        this.sender =
                new ShardSender(
                        service,
                        settings,
                        pool,
                        feedback,
                        hedgeQueue,
                        decisions,
                        suspects,
                        admission);
        this.placer =
                new ShardPlacer(
                        pool, placements, probes, queue, retries, sender, admission, shares);
    }

    synchronized void configure(
            ConfigSet config, boolean firstConfig, long nowNanos, Outbox outbox) {
        Service configured = config.services().get(service);
        pool.configure(
                configured == null ? List.of() : configured.backendServers(),
                config,
                firstConfig,
                nowNanos);
        probes.configure(config, nowNanos);
        pool.estimateWork(config, service);
        admission.configure(config);
        dispatchWaiting(nowNanos, outbox);
    }

    synchronized void setInstanceShare(InstanceShare share) {
        pool.setInstanceShare(share);
        retries.setInstanceShare(share);
    }

    synchronized boolean isIdle() {
        return calls.isEmpty();
    }

    synchronized int inFlight() {
        return pool.inFlight();
    }

    synchronized void arrive(CallState call, long nowNanos, Outbox outbox) {
        admission.accept(call, nowNanos);
        if (call.head.handover() == null || call.head.handover().earnsRetry()) {
            retries.earnToken();
        }
        if (call.needsClaim()) {
            call.awaitsClaim = true;
            outbox.requestClaim(call.claimRequest());
        } else {
            admit(call, nowNanos, outbox);
        }
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        CallState call = calls.get(decision.request());
        if (call == null || !call.awaitsClaim) {
            return;
        }
        call.awaitsClaim = false;
        call.claimGranted = decision instanceof ClaimDecision.Granted;
        if (call.callerDisconnected) {
            calls.end(call);
            CallCompletion.endUnanswered(call, outbox);
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
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized void answered(
            TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry openTry = call == null ? null : call.findOpenTry(tryId);
        if (openTry == null || call.winner != null) {
            return;
        }
        hedgeQueue.observe(nowNanos - openTry.sentAtNanos);
        feedback.answered(openTry, status, load, nowNanos, outbox);
        suspects.answered(call, status, nowNanos, outbox);
        sender.relayOrRefuse(call, openTry, status, nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized void completed(
            TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry openTry = call == null ? null : call.findOpenTry(tryId);
        if (openTry == null || openTry != call.winner) {
            return;
        }
        openTry.release();
        calls.end(call);
        feedback.completed(openTry, nowNanos, outbox);
        CallCompletion.endAnswered(call, answer, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        CallState call = calls.get(tryId.request());
        OpenTry openTry = call == null ? null : call.findOpenTry(tryId);
        if (openTry == null) {
            return;
        }
        openTry.release();
        feedback.failed(openTry, failure, load, nowNanos, outbox);
        if (failure.lostConnection()) {
            call.lostTryCount++;
            decisions.recordLost(call, openTry, failure, suspects.digestOf(call), nowNanos, outbox);
            suspects.lost(call, openTry, nowNanos, outbox);
        } else if (failure.malformedResponse()) {
            decisions.recordLost(call, openTry, failure, null, nowNanos, outbox);
        }
        call.mayHaveStarted |= failure.mayHaveStarted();
        call.bytesSent |= failure.mayHaveSent();
        if (!failure.mayHaveSent()) {
            call.retriesLeft++;
        }
        call.lastFailure = failure;
        if (call.winner != null) {
            calls.end(call);
            CallCompletion.endUnanswered(call, outbox);
        } else if (call.openTryCount() == 0) {
            retryOrRefuse(call, nowNanos, outbox);
        }
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized boolean maySend(TryId tryId) {
        return sender.maySend(calls.get(tryId.request()), tryId);
    }

    /** Decides about a call whose digest is known only now, before its request is complete. */
    @Override
    public synchronized void requestRead(
            RequestId request, boolean partlySent, long nowNanos, Outbox outbox) {
        CallState call = calls.get(request);
        if (call != null && call.awaitsVerdict) {
            readmit(call, nowNanos, outbox);
            return;
        }
        OpenTry openTry = call == null ? null : call.onlyOpenTry();
        if (openTry == null
                || call.winner != null
                || suspects.mayComplete(openTry, call, nowNanos)) {
            return;
        }
        call.mayHaveStarted |= partlySent;
        call.bytesSent |= partlySent;
        sender.cancelOpenTries(call, nowNanos, outbox);
        admission.refuseSuspect(call, suspects.verdict(call, nowNanos), nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    @Override
    public synchronized void suspicionAnswered(SuspectAnswer answer, long nowNanos, Outbox outbox) {
        CallState call = calls.get(answer.request());
        if (call != null && call.awaitsVerdict) {
            call.toldVerdict = answer.verdict();
            readmit(call, nowNanos, outbox);
        }
    }

    private void readmit(CallState call, long nowNanos, Outbox outbox) {
        call.awaitsVerdict = false;
        admit(call, nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    synchronized void serverChecked(
            BackendServerId id, ServerPresence presence, long nowNanos, Outbox outbox) {
        suspects.checked(id, presence, nowNanos, outbox);
    }

    @Override
    public synchronized void callerDisconnected(RequestId request, long nowNanos, Outbox outbox) {
        CallState call = calls.get(request);
        if (call == null) {
            return;
        }
        if (call.awaitsClaim) {
            // The claim may still be granted and must be ended in that case.
            call.callerDisconnected = true;
            return;
        }
        call.mayHaveStarted |= call.openTryCount() > 0;
        call.winner = null;
        sender.cancelOpenTries(call, nowNanos, outbox);
        queue.remove(call);
        placements.remove(call);
        calls.end(call);
        CallCompletion.endUnanswered(call, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    /** Ends every open call at the time limit of a planned stop; relayed responses are cut off. */
    synchronized void abort(long nowNanos, Outbox outbox) {
        for (CallState call : calls.all()) {
            call.mayHaveStarted |= call.openTryCount() > 0;
            call.bytesSent |= call.openTryCount() > 0;
            boolean relayed = call.winner != null;
            call.winner = null;
            sender.cancelOpenTries(call, nowNanos, outbox);
            queue.remove(call);
            if (relayed) {
                calls.end(call);
                CallCompletion.endUnanswered(call, outbox);
            } else {
                calls.refuse(call, CallCompletion.refusalAtStop(call), outbox);
            }
        }
    }

    synchronized void timerFired(long nowNanos, Outbox outbox) {
        timer.fired();
        if (!queue.isEmpty()) {
            admission.refuseExpired(nowNanos, outbox);
        }
        CallState dueCall;
        while ((dueCall = hedgeQueue.pollDue(nowNanos)) != null) {
            placer.hedge(dueCall, nowNanos, outbox);
        }
        probes.timerFired(nowNanos, outbox);
        placer.decide(placements.takeDue(nowNanos), nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    synchronized void probeAnswered(
            BackendServerId id, LoadReport load, long sizeBytes, long nowNanos, Outbox outbox) {
        probes.answered(id, sizeBytes);
        ServerState state = pool.find(id);
        if (state != null) {
            feedback.probeAnswered(state, load, nowNanos, outbox);
        }
        boolean idle = state != null && state.load.isIdle(nowNanos);
        placer.decide(placements.probeEnded(id, idle), nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    synchronized void probeFailed(BackendServerId id, long nowNanos, Outbox outbox) {
        probes.failed(id);
        feedback.probeFailed(pool.find(id), nowNanos, outbox);
        placer.decide(placements.probeEnded(id, false), nowNanos, outbox);
        dispatchWaiting(nowNanos, outbox);
    }

    /** Sends, queues or refuses a call, or starts probing for it. */
    private void admit(CallState call, long nowNanos, Outbox outbox) {
        if (nowNanos >= call.deadlineNanos) {
            calls.refuse(call, RefusalReason.DEADLINE_EXCEEDED, 0, outbox);
            return;
        }
        if (suspects.defer(call, nowNanos, outbox)) {
            return;
        }
        if (suspects.verdict(call, nowNanos) instanceof Verdict.Refuse refuse) {
            admission.refuseSuspect(call, refuse, nowNanos, outbox);
            return;
        }
        if (admission.refuseOverShare(call, nowNanos, outbox)
                || pool.probesEachCall()
                        && placements.start(call, false, probes.path(), nowNanos, outbox)) {
            return;
        }
        if (queue.isEmpty()) {
            ServerState chosen = pool.chooseWithinColdLimit(call, nowNanos);
            if (chosen != null) {
                sender.send(call, chosen, false, nowNanos, outbox);
                return;
            }
        }
        admission.enqueueOrRefuse(call, nowNanos, outbox);
    }

    private void retryOrRefuse(CallState call, long nowNanos, Outbox outbox) {
        boolean mayRepeat = suspects.mayRepeat(call, nowNanos);
        // While the instance is cut off, another server would not be reached either.
        if (mayRepeat && !detour.isCutOff() && retries.takeRetry(call, nowNanos)) {
            call.retriesLeft--;
            admit(call, nowNanos, outbox);
        } else if (!mayRepeat || !calls.passOn(call, nowNanos, outbox)) {
            admission.refuseFailed(call, nowNanos, outbox);
        }
    }

    /** Sends queued calls while servers have room, and sets the timer to the next due time. */
    private void dispatchWaiting(long nowNanos, Outbox outbox) {
        queue.beginRound();
        int blockedFlows = 0;
        CallState call;
        while (blockedFlows < MAX_BLOCKED_FLOWS && (call = queue.head()) != null) {
            if (queue.isExpired(call, nowNanos)) {
                admission.refuseExpired(nowNanos, outbox);
                continue;
            }
            ServerState chosen = pool.chooseWithinColdLimit(call, nowNanos);
            if (chosen != null) {
                queue.dequeue(call, nowNanos);
                sender.send(call, chosen, false, nowNanos, outbox);
            } else if (pool.isBusy()) {
                queue.block(call);
                // If a call that may use every server finds no room, no other call does.
                boolean fitsNowhere = !call.homeRegions.bound() && call.tries.isEmpty();
                blockedFlows += fitsNowhere ? MAX_BLOCKED_FLOWS : 1;
            } else {
                queue.remove(call);
                admission.refuseWithoutServer(call, nowNanos, outbox);
            }
        }
        long dueNanos = Math.min(queue.nextSweepNanos(), probes.nextDueNanos());
        dueNanos = Math.min(dueNanos, placements.nextDueNanos());
        timer.scheduleBy(Math.min(dueNanos, hedgeQueue.nextDueNanos()), nowNanos, outbox);
    }
}
