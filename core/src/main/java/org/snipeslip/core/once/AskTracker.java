package org.snipeslip.core.once;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.End;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/**
 * The claims of this instance's own calls: those that wait for a decision, those granted, and those
 * that provably never ran. A grant counts only for a waiting claim; a later one is answered with
 * NOT_RUN. Waiting and granted claims together are bounded, and a further call is refused; of the
 * claims that never ran the oldest is forgotten, after which its late grant gets no answer.
 */
final class AskTracker {
    private static final String TIMER_PREFIX = "ask/";

    private final Scope scope;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<RequestId, Target> granted = new HashMap<>();
    private final Map<Long, Target> neverRun;
    private long lastClaim;

    AskTracker(Scope scope) {
        this.scope = scope;
        int limit = scope.settings.maxClaims();
        this.neverRun =
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Target> eldest) {
                        return size() > limit;
                    }
                };
    }

    void claim(ClaimRequest request, GroupName group, long nowNanos) {
        long timeoutNanos = scope.settings.askTimeoutMillis() * OnceSettings.NANOS_PER_MILLI;
        long expiresNanos = nowNanos + timeoutNanos;
        if (request.deadlineNanos() - expiresNanos < 0) {
            expiresNanos = request.deadlineNanos();
        }
        String digest = KeyDigest.of(request);
        int number = KeyDigest.partition(digest, group.partitions(scope.settings));
        boolean full = waiting.size() + granted.size() >= scope.settings.maxClaims();
        if (full || nowNanos - expiresNanos >= 0) {
            refuse(request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
            return;
        }
        ask(request, new PartitionId(group, number), digest, expiresNanos, nowNanos);
    }

    /** Refuses a call without asking anyone; earlier submissions of its key may have run. */
    void refuseUnasked(RequestId request, RefusalReason reason) {
        refuse(request, reason, Outcome.UNKNOWN);
    }

    void end(ClaimEnd end) {
        Target target = granted.remove(end.request());
        if (target == null) {
            return;
        }
        if (end.end() == End.NOT_RUN) {
            neverRun.put(target.claim, target);
        }
        report(target, end.end(), end.answer());
    }

    void replied(InstanceId from, ClaimMessage.ClaimReply reply, long nowNanos) {
        if (reply.incarnation() != scope.incarnation) {
            return;
        }
        Waiting claim = waiting.get(reply.claim());
        if (claim == null) {
            Target target = neverRun.get(reply.claim());
            if (target != null && reply.verdict() == Verdict.GRANTED) {
                report(target.at(from), End.NOT_RUN, RecordableAnswer.NONE);
            }
            return;
        }
        if (nowNanos - claim.expiresNanos >= 0) {
            giveUp(claim);
            return;
        }
        if (reply.verdict() == Verdict.NOT_OWNER) {
            claim.askAgain = true;
            setTimer(claim, nowNanos);
            return;
        }
        waiting.remove(reply.claim());
        decide(claim, reply);
    }

    /** Takes a timer; returns false if it is none of a claim. */
    boolean timerFired(String key, long nowNanos) {
        if (!key.startsWith(TIMER_PREFIX)) {
            return false;
        }
        Waiting claim = waiting.get(Long.parseLong(key.substring(TIMER_PREFIX.length())));
        if (claim == null) {
            return true;
        }
        if (nowNanos - claim.expiresNanos >= 0) {
            giveUp(claim);
        } else if (claim.askAgain) {
            waiting.remove(claim.target.claim);
            neverRun.put(claim.target.claim, claim.target);
            Target old = claim.target;
            // The refusing owner may have recorded the claim before it learned of its loss.
            report(old, End.NOT_RUN, RecordableAnswer.NONE);
            ask(claim.request, old.partition, old.digest, claim.expiresNanos, nowNanos);
        } else {
            setTimer(claim, nowNanos);
        }
        return true;
    }

    private void ask(
            ClaimRequest request,
            PartitionId partition,
            String digest,
            long expiresNanos,
            long nowNanos) {
        InstanceId owner = scope.ranking.first(partition);
        if (owner == null) {
            refuse(request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
            return;
        }
        lastClaim++;
        Target target = new Target(lastClaim, partition, digest, owner);
        Waiting claim = new Waiting(request, target, expiresNanos);
        waiting.put(lastClaim, claim);
        setTimer(claim, nowNanos);
        scope.send(
                owner,
                new ClaimMessage.ClaimAsk(
                        lastClaim,
                        scope.incarnation,
                        partition.group().value(),
                        partition.number(),
                        digest,
                        KeyDigest.shortened(request.fingerprint())));
    }

    private void setTimer(Waiting claim, long nowNanos) {
        long delayNanos = claim.expiresNanos - nowNanos;
        if (claim.askAgain) {
            long retryNanos = scope.settings.retryMillis() * OnceSettings.NANOS_PER_MILLI;
            delayNanos = Math.min(delayNanos, retryNanos);
        }
        scope.timer(TIMER_PREFIX + claim.target.claim, delayNanos);
    }

    private void giveUp(Waiting claim) {
        waiting.remove(claim.target.claim);
        neverRun.put(claim.target.claim, claim.target);
        report(claim.target, End.NOT_RUN, RecordableAnswer.NONE);
        refuse(claim.request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    private void decide(Waiting claim, ClaimMessage.ClaimReply reply) {
        RequestId request = claim.request.request();
        switch (reply.verdict()) {
            case GRANTED -> {
                granted.put(request, claim.target);
                scope.outbox().decide(new ClaimDecision.Granted(request));
                return;
            }
            case RECORDED ->
                    scope.outbox().decide(new ClaimDecision.Replay(request, reply.answer()));
            case IN_PROGRESS -> refuse(request, RefusalReason.IN_PROGRESS, Outcome.UNKNOWN);
            case OUTCOME_UNKNOWN ->
                    refuse(request, RefusalReason.EARLIER_OUTCOME_UNKNOWN, Outcome.UNKNOWN);
            case KEY_REUSED -> refuse(request, RefusalReason.KEY_REUSED, Outcome.NOT_RUN);
            case UNAVAILABLE_NOT_RUN ->
                    refuse(request, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
            default -> refuse(request, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        }
        neverRun.put(claim.target.claim, claim.target);
    }

    /** Tells the granting owner and, if it is another one by now, the present owner. */
    private void report(Target target, End end, RecordableAnswer answer) {
        ClaimMessage.ClaimOutcome outcome =
                new ClaimMessage.ClaimOutcome(
                        target.claim,
                        scope.incarnation,
                        target.partition.group().value(),
                        target.partition.number(),
                        target.digest,
                        end,
                        answer);
        scope.send(target.owner, outcome);
        InstanceId present = scope.ranking.first(target.partition);
        if (present != null && !present.equals(target.owner)) {
            scope.send(present, outcome);
        }
    }

    private void refuse(RequestId request, RefusalReason reason, Outcome outcome) {
        long retryAfterMillis =
                reason == RefusalReason.ONCE_UNAVAILABLE ? scope.settings.leaseMillis() : 0;
        Refusal refusal = new Refusal(reason, outcome, false, retryAfterMillis, Set.of());
        scope.outbox().decide(new ClaimDecision.Refused(request, refusal));
    }

    /** Where a claim was asked. */
    private record Target(long claim, PartitionId partition, String digest, InstanceId owner) {
        Target at(InstanceId otherOwner) {
            return new Target(claim, partition, digest, otherOwner);
        }
    }

    private static final class Waiting {
        final ClaimRequest request;
        final Target target;
        final long expiresNanos;
        boolean askAgain;

        Waiting(ClaimRequest request, Target target, long expiresNanos) {
            this.request = request;
            this.target = target;
            this.expiresNanos = expiresNanos;
        }
    }
}
