package org.snipeslip.core.once;

import org.snipeslip.core.peer.ClaimMessage.End;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/** Decides on claims whose key has a record or waits already. */
final class Duplicates {
    private final Scope scope;
    private final ClaimTable table;
    private final WaitingClaims claims;

    Duplicates(Scope scope, ClaimTable table, WaitingClaims claims) {
        this.scope = scope;
        this.table = table;
        this.claims = claims;
    }

    /** Replies to a claim that cannot be granted; returns false if the key may be granted. */
    boolean settle(Ask ask) {
        if (isWaiting(ask)) {
            return true;
        }
        ClaimRecord record = table.get(ask.digest());
        if (record == null) {
            return false;
        }
        if (record.end() == End.GRANTED && record.grantee().equals(ask.from())) {
            // A second delivery of the claim that was granted.
            return true;
        }
        Verdict verdict = verdict(record, ask);
        if (verdict != null) {
            scope.reply(ask, verdict, record.answer());
        }
        return verdict != null;
    }

    /** Replies to a claim whose key waits for another claim; ignores a second delivery. */
    boolean isWaiting(Ask ask) {
        Ask waiting = claims.get(ask.digest());
        if (waiting != null && !waiting.from().equals(ask.from())) {
            scope.reply(ask, Verdict.IN_PROGRESS);
        }
        return waiting != null;
    }

    /** Replies with a recorded answer, which stays true while the ownership is uncertain. */
    boolean replay(Ask ask) {
        ClaimRecord record = table.get(ask.digest());
        if (record == null || verdict(record, ask) != Verdict.RECORDED) {
            return false;
        }
        scope.reply(ask, Verdict.RECORDED, record.answer());
        return true;
    }

    /** Returns the decision, or null if the record allows a new grant. */
    private Verdict verdict(ClaimRecord record, Ask ask) {
        if (!record.fingerprint().equals(ask.fingerprint())) {
            return Verdict.KEY_REUSED;
        }
        Grantee grantee = record.grantee();
        return switch (record.end()) {
            case ANSWERED -> Verdict.RECORDED;
            case UNKNOWN -> Verdict.OUTCOME_UNKNOWN;
            case NOT_RUN -> null;
            case GRANTED ->
                    scope.ranking.holds(grantee.instance(), grantee.incarnation())
                            ? Verdict.IN_PROGRESS
                            : Verdict.OUTCOME_UNKNOWN;
        };
    }
}
