package org.snipeslip.core.idempotency;

import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * The record of an idempotency key.
 *
 * @param digest digest of organisation, route and key
 * @param fingerprint digest of the request
 * @param grantedClaim the claim that was granted last
 * @param state how the granted call ended, or {@code GRANTED} if it has not
 * @param answer the answer if the call ended with one
 */
record ClaimRecord(
        String digest,
        String fingerprint,
        ClaimId grantedClaim,
        ClaimMessage.ClaimState state,
        RecordableAnswer answer) {
    /** Length of 1 KiB in Base64; a longer body is not kept. */
    private static final int MAX_BODY_CHARS = 1_368;

    /** A longer content type is not kept; such media types have no practical use. */
    private static final int MAX_CONTENT_TYPE_CHARS = 256;

    static ClaimRecord granted(ReceivedClaim claim) {
        return new ClaimRecord(
                claim.digest(),
                claim.fingerprint(),
                claim.claimId(),
                ClaimMessage.ClaimState.GRANTED,
                RecordableAnswer.NONE);
    }

    ClaimRecord ended(ClaimMessage.ClaimState newState, RecordableAnswer newAnswer) {
        return new ClaimRecord(
                digest, fingerprint, grantedClaim, newState, withinLimits(newAnswer));
    }

    ClaimRecord withoutBody() {
        RecordableAnswer kept =
                new RecordableAnswer(answer.status(), answer.contentType(), "", false);
        return new ClaimRecord(digest, fingerprint, grantedClaim, state, kept);
    }

    private static RecordableAnswer withinLimits(RecordableAnswer answer) {
        String type = answer.contentType();
        if (answer.body().length() <= MAX_BODY_CHARS && type.length() <= MAX_CONTENT_TYPE_CHARS) {
            return answer;
        }
        String keptType = type.length() <= MAX_CONTENT_TYPE_CHARS ? type : "";
        return new RecordableAnswer(answer.status(), keptType, "", false);
    }
}
