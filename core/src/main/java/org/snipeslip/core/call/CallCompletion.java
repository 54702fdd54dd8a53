package org.snipeslip.core.call;

import java.util.Set;
import org.snipeslip.core.idempotency.ClaimEnd;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * Completes calls: builds a refusal whose outcome matches what was sent to backend servers, and
 * reports the end of each granted idempotency claim exactly once.
 */
final class CallCompletion {
    private CallCompletion() {}

    static Refusal refusal(CallState call, RefusalReason reason, long retryAfterMillis) {
        Outcome outcome = call.mayHaveStarted ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return new Refusal(reason, outcome, call.bytesSent, retryAfterMillis, Set.of());
    }

    /**
     * Returns the refusal of an open call when the instance stops. A call that still waits for its
     * claim may repeat an earlier call that ran, so its outcome is unknown rather than not run.
     */
    static Refusal refusalAtStop(CallState call) {
        return call.awaitsClaim
                ? new Refusal(RefusalReason.STOPPING, Outcome.UNKNOWN, false, 0, Set.of())
                : refusal(call, RefusalReason.STOPPING, 0);
    }

    static RefusalReason reasonWithoutServer(CallState call) {
        return call.lastFailure == null
                ? RefusalReason.NO_BACKEND_SERVER
                : reasonOf(call.lastFailure);
    }

    static void refuse(CallState call, Refusal refusal, Outbox outbox) {
        outbox.add(new Action.RefuseCaller(call.request, refusal));
        returnQuota(call, refusal, outbox);
        endUnanswered(call, outbox);
    }

    /** Gives a call back to the quota of its organisation if it has not run. */
    static void returnQuota(CallState call, Refusal refusal, Outbox outbox) {
        if (call.quotaReturn != null && refusal.outcome() == Outcome.NOT_RUN) {
            outbox.reportQuotaReturn(call.quotaReturn);
            call.quotaReturn = null;
        }
    }

    /** Ends the claim of a call whose answer was not relayed completely. */
    static void endUnanswered(CallState call, Outbox outbox) {
        ClaimMessage.ClaimState state =
                call.mayHaveStarted
                        ? ClaimMessage.ClaimState.UNKNOWN
                        : ClaimMessage.ClaimState.NOT_RUN;
        endClaim(call, state, RecordableAnswer.NONE, outbox);
    }

    static void endAnswered(CallState call, RecordableAnswer answer, Outbox outbox) {
        endClaim(call, ClaimMessage.ClaimState.ANSWERED, answer, outbox);
    }

    static RefusalReason reasonOf(TryFailure failure) {
        return switch (failure) {
            case REFUSED_NOT_RUN -> RefusalReason.BACKEND_SERVER_REFUSED;
            case NOT_CONNECTED, CONNECT_TIMED_OUT, NO_CONNECTION_LEFT ->
                    RefusalReason.BACKEND_SERVER_UNREACHABLE;
            case SERVER_LEFT -> RefusalReason.NO_BACKEND_SERVER;
            case TIMED_OUT -> RefusalReason.DEADLINE_EXCEEDED;
            default -> RefusalReason.BACKEND_SERVER_FAILED;
        };
    }

    private static void endClaim(
            CallState call, ClaimMessage.ClaimState state, RecordableAnswer answer, Outbox outbox) {
        if (call.claimGranted && !call.claimEnded) {
            call.claimEnded = true;
            outbox.reportClaimEnd(new ClaimEnd(call.request, state, answer));
        }
    }
}
