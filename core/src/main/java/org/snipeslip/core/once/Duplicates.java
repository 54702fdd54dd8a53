package org.snipeslip.core.once;

import org.snipeslip.core.peer.ClaimMessage.Verdict;

/** Decides on a claim whose key has a record. */
final class Duplicates {
    private Duplicates() {}

    /** Returns the decision, or null if the record allows a new grant. */
    static Verdict verdict(ClaimRecord record, Ask ask, OwnerRanking ranking) {
        if (!record.fingerprint().equals(ask.fingerprint())) {
            return Verdict.KEY_REUSED;
        }
        Grantee grantee = record.grantee();
        return switch (record.end()) {
            case ANSWERED -> Verdict.RECORDED;
            case UNKNOWN -> Verdict.OUTCOME_UNKNOWN;
            case NOT_RUN -> null;
            case GRANTED ->
                    ranking.holds(grantee.instance(), grantee.incarnation())
                            ? Verdict.IN_PROGRESS
                            : Verdict.OUTCOME_UNKNOWN;
        };
    }

    /** Whether the claim is a second delivery of the one that was granted; it gets no reply. */
    static boolean isSameClaim(ClaimRecord record, Ask ask) {
        return record.end() == org.snipeslip.core.peer.ClaimMessage.End.GRANTED
                && record.grantee().equals(ask.from());
    }
}
