package org.snipeslip.core.idempotency;

import org.snipeslip.core.peer.ClaimMessage.ClaimState;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/** Replies to claims whose key already has a record or a waiting claim. */
final class DuplicateClaims {
    private final IdempotencyContext context;
    private final ClaimTable table;
    private final WaitingClaims waitingClaims;

    DuplicateClaims(IdempotencyContext context, ClaimTable table, WaitingClaims waitingClaims) {
        this.context = context;
        this.table = table;
        this.waitingClaims = waitingClaims;
    }

    /**
     * Replies to a claim that must not be granted, and ignores a second delivery of a claim.
     * Returns false, without a reply, if the key may be granted.
     */
    boolean replyUnlessGrantable(ReceivedClaim claim) {
        if (replyIfWaiting(claim)) {
            return true;
        }
        ClaimRecord record = table.get(claim.digest());
        if (record == null) {
            return false;
        }
        if (record.state() == ClaimState.GRANTED && record.grantedClaim().equals(claim.claimId())) {
            // A second delivery of the granted claim is ignored.
            return true;
        }
        Verdict verdict = verdict(record, claim);
        if (verdict != null) {
            context.reply(claim, verdict, record.answer());
        }
        return verdict != null;
    }

    /**
     * Returns whether a claim for the same key is already waiting. Replies {@code IN_PROGRESS}
     * unless it is a second delivery of the same claim.
     */
    boolean replyIfWaiting(ReceivedClaim claim) {
        ReceivedClaim waiting = waitingClaims.get(claim.digest());
        if (waiting != null && !waiting.claimId().equals(claim.claimId())) {
            context.reply(claim, Verdict.IN_PROGRESS);
        }
        return waiting != null;
    }

    /**
     * Replies with the recorded answer if there is one. A recorded answer stays valid even while it
     * is uncertain who owns the partition. Returns false, without a reply, if there is no answer
     * for this request.
     */
    boolean replyIfRecorded(ReceivedClaim claim) {
        ClaimRecord record = table.get(claim.digest());
        if (record == null || verdict(record, claim) != Verdict.RECORDED) {
            return false;
        }
        context.reply(claim, Verdict.RECORDED, record.answer());
        return true;
    }

    /** Returns the verdict, or null if the record allows a new grant. */
    private Verdict verdict(ClaimRecord record, ReceivedClaim claim) {
        if (!record.fingerprint().equals(claim.fingerprint())) {
            return Verdict.KEY_REUSED;
        }
        ClaimId granted = record.grantedClaim();
        return switch (record.state()) {
            case ANSWERED -> Verdict.RECORDED;
            case UNKNOWN -> Verdict.OUTCOME_UNKNOWN;
            case NOT_RUN -> null;
            case GRANTED ->
                    context.ranking.isLive(granted.instance(), granted.incarnation())
                            ? Verdict.IN_PROGRESS
                            : Verdict.OUTCOME_UNKNOWN;
        };
    }
}
