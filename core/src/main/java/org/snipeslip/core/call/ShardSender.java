package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.suspect.Verdict;

/** Sends and cancels the tries of one service. Guarded by the shard's lock. */
final class ShardSender {
    private final ServiceId service;
    private final CallSettings settings;
    private final ServerPool pool;
    private final ServerFeedback feedback;
    private final HedgeQueue hedgeQueue;
    private final DecisionRecorder decisions;
    private final ShardSuspects suspects;
    private final ShardAdmission admission;

    ShardSender(
            ServiceId service,
            CallSettings settings,
            ServerPool pool,
            ServerFeedback feedback,
            HedgeQueue hedgeQueue,
            DecisionRecorder decisions,
            ShardSuspects suspects,
            ShardAdmission admission) {
        this.service = service;
        this.settings = settings;
        this.pool = pool;
        this.feedback = feedback;
        this.hedgeQueue = hedgeQueue;
        this.decisions = decisions;
        this.suspects = suspects;
        this.admission = admission;
    }

    /**
     * Sends a try to the server that was chosen last, or refuses the call if too many servers have
     * crashed under its request by now. Suspected requests are not hedged.
     */
    void send(CallState call, ServerState chosen, boolean hedge, long nowNanos, Outbox outbox) {
        Verdict verdict = suspects.verdict(call, nowNanos);
        boolean suspected = !(verdict instanceof Verdict.Run run && run.level() == 0);
        if (hedge && suspected) {
            return;
        }
        boolean refused =
                switch (verdict) {
                    case Verdict.Run run -> false;
                    case Verdict.RunAlone run -> !chosen.load.isIdle(nowNanos);
                    case Verdict.Refuse refuse -> true;
                };
        if (refused) {
            admission.refuseSuspect(call, verdict, nowNanos, outbox);
            return;
        }
        List<DecisionRecord.Candidate> candidates = pool.snapshot(nowNanos);
        TryId id = new TryId(call.request, call.tries.size() + 1);
        OpenTry openTry = new OpenTry(id, chosen, nowNanos);
        openTry.route = call.route.id();
        call.tries.add(openTry);
        suspects.recordVerdict(verdict, openTry, call);
        feedback.sent(chosen, nowNanos);
        outbox.add(
                new Action.SendTry(
                        id,
                        service,
                        chosen.server,
                        call.deadlineNanos - nowNanos,
                        Math.max(0, call.retriesLeft),
                        call.claimGranted,
                        call.organisationId()));
        DecisionRecord.Kind kind =
                hedge
                        ? DecisionRecord.Kind.HEDGED
                        : id.number() == 1
                                ? DecisionRecord.Kind.ROUTED
                                : DecisionRecord.Kind.RETRIED;
        decisions.recordSent(call, kind, chosen.server.id(), candidates, outbox);
        if (settings.hedging() && pool.isAdaptive() && call.mayBeHedged(nowNanos)) {
            hedgeQueue.add(call, nowNanos);
        }
    }

    /**
     * Returns whether the server of a try is still in service. Between the decision and the
     * sending, the body may arrive and a connection be opened.
     *
     * @param call the call, or null if it has ended
     */
    boolean maySend(CallState call, TryId tryId) {
        OpenTry openTry = call == null ? null : call.findOpenTry(tryId);
        return openTry != null
                && pool.find(openTry.serverId) == openTry.server
                && openTry.server.isInService()
                && pool.versions().maySend(openTry.server.server);
    }

    /**
     * Relays the response of a server, or refuses its call if the status would state that the call
     * has not run.
     */
    void relayOrRefuse(CallState call, OpenTry openTry, int status, long nowNanos, Outbox outbox) {
        if (settings.mayRelay(call.idempotent, status)) {
            call.winner = openTry;
            outbox.add(new Action.RelayAnswer(openTry.id));
            cancelOpenTries(call, nowNanos, outbox);
            return;
        }
        openTry.release();
        outbox.add(new Action.CancelTry(openTry.id));
        cancelOpenTries(call, nowNanos, outbox);
        call.mayHaveStarted = true;
        call.bytesSent = true;
        admission.refuseUnproven(call, outbox);
    }

    /** Cancels the open tries, except the one whose response is being relayed. */
    void cancelOpenTries(CallState call, long nowNanos, Outbox outbox) {
        for (OpenTry openTry : call.tries) {
            if (openTry.open && openTry != call.winner) {
                outbox.add(new Action.CancelTry(openTry.id));
                openTry.release();
                feedback.cancelled(openTry, nowNanos);
            }
        }
    }
}
