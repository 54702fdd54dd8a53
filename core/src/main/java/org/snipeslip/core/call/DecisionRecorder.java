package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

/** Adds the decision records of one service to the outbox. */
final class DecisionRecorder {
    private final ServiceId service;

    DecisionRecorder(ServiceId service) {
        this.service = service;
    }

    void recordSent(
            CallState call,
            DecisionRecord.Kind kind,
            BackendServerId chosen,
            List<DecisionRecord.Candidate> candidates,
            Outbox outbox) {
        record(call, kind, chosen, null, candidates, outbox);
    }

    void recordQueued(CallState call, List<DecisionRecord.Candidate> candidates, Outbox outbox) {
        record(call, DecisionRecord.Kind.QUEUED, null, null, candidates, outbox);
    }

    void recordRefused(CallState call, Refusal refusal, Outbox outbox) {
        record(call, DecisionRecord.Kind.REFUSED, null, refusal, List.of(), outbox);
    }

    /**
     * Records that the connection of a try was lost, or closed because of a malformed response.
     *
     * @param digest digest of the request, or null if it must not be kept here or is not needed
     */
    void recordLost(
            CallState call,
            OpenTry lost,
            TryFailure failure,
            RequestDigest digest,
            long nowNanos,
            Outbox outbox) {
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                call.request,
                                DecisionRecord.Kind.LOST,
                                call.route.id(),
                                service,
                                lost.id.number(),
                                lost.serverId,
                                null,
                                List.of(),
                                new DecisionRecord.Loss(
                                        failure, nowNanos - lost.sentAtNanos, digest),
                                null)));
    }

    private void record(
            CallState call,
            DecisionRecord.Kind kind,
            BackendServerId chosen,
            Refusal refusal,
            List<DecisionRecord.Candidate> candidates,
            Outbox outbox) {
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                call.request,
                                kind,
                                call.route.id(),
                                service,
                                call.tries.size(),
                                chosen,
                                refusal,
                                candidates)));
    }
}
