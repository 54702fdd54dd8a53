package org.snipeslip.core.once;

import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/** What is kept of one key. */
record ClaimRecord(
        String digest,
        String fingerprint,
        Grantee grantee,
        ClaimMessage.End end,
        RecordableAnswer answer) {
    /** Base64 of 1 KiB; a longer body is not kept. */
    private static final int BODY_LIMIT = 1_368;

    /** Longer media types have no practical use. */
    private static final int CONTENT_TYPE_LIMIT = 256;

    static ClaimRecord granted(Ask ask) {
        return new ClaimRecord(
                ask.digest(),
                ask.fingerprint(),
                ask.from(),
                ClaimMessage.End.GRANTED,
                RecordableAnswer.NONE);
    }

    ClaimRecord ended(ClaimMessage.End newEnd, RecordableAnswer newAnswer) {
        return new ClaimRecord(digest, fingerprint, grantee, newEnd, bounded(newAnswer));
    }

    ClaimRecord withoutBody() {
        RecordableAnswer kept =
                new RecordableAnswer(answer.status(), answer.contentType(), "", false);
        return new ClaimRecord(digest, fingerprint, grantee, end, kept);
    }

    private static RecordableAnswer bounded(RecordableAnswer answer) {
        String type = answer.contentType();
        if (answer.body().length() <= BODY_LIMIT && type.length() <= CONTENT_TYPE_LIMIT) {
            return answer;
        }
        String keptType = type.length() <= CONTENT_TYPE_LIMIT ? type : "";
        return new RecordableAnswer(answer.status(), keptType, "", false);
    }
}
