package org.snipeslip.core.idempotency;

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
import org.snipeslip.core.peer.ClaimMessage.ClaimState;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/**
 * Sends the claims for this instance's own calls to their partition owners and tracks them: claims
 * that wait for a decision, granted claims, and claims whose call provably never ran.
 *
 * <p>A grant is accepted only for a waiting claim; a grant that arrives later is answered with
 * {@code NOT_RUN}, so that the owner releases the key. The waiting and granted claims together are
 * limited to {@link IdempotencySettings#maxOpenClaims()}; further calls are refused. Of the claims
 * that never ran, the same number is kept and the oldest is evicted first; a late grant for an
 * evicted claim is not answered.
 */
final class ClaimClient {
    private static final String TIMER_PREFIX = "ask/";

    private final IdempotencyContext context;
    private final Map<Long, WaitingClaim> waitingByNumber = new HashMap<>();
    private final Map<RequestId, SentClaim> grantedByRequest = new HashMap<>();
    private final Map<Long, SentClaim> neverRunByNumber;
    private long lastClaimNumber;

    ClaimClient(IdempotencyContext context) {
        this.context = context;
        int maxNeverRun = context.settings.maxOpenClaims();
        this.neverRunByNumber =
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, SentClaim> eldest) {
                        return size() > maxNeverRun;
                    }
                };
    }

    void claim(ClaimRequest request, GroupName group, long nowNanos) {
        long timeoutNanos =
                context.settings.claimTimeoutMillis() * IdempotencySettings.NANOS_PER_MILLI;
        long expiresNanos = nowNanos + timeoutNanos;
        if (request.deadlineNanos() - expiresNanos < 0) {
            expiresNanos = request.deadlineNanos();
        }
        String digest = KeyDigest.of(request);
        int partitionNumber = KeyDigest.partitionOf(digest, group.partitions(context.settings));
        boolean full =
                waitingByNumber.size() + grantedByRequest.size()
                        >= context.settings.maxOpenClaims();
        if (full || nowNanos - expiresNanos >= 0) {
            refuse(request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
            return;
        }
        sendClaim(request, new PartitionId(group, partitionNumber), digest, expiresNanos, nowNanos);
    }

    /**
     * Refuses a call without sending a claim. The outcome is unknown, because an earlier submission
     * of the key may have run.
     */
    void refuseLocally(RequestId request, RefusalReason reason) {
        refuse(request, reason, Outcome.UNKNOWN);
    }

    void end(ClaimEnd end) {
        SentClaim sent = grantedByRequest.remove(end.request());
        if (sent == null) {
            return;
        }
        if (end.state() == ClaimState.NOT_RUN) {
            neverRunByNumber.put(sent.number, sent);
        }
        sendOutcome(sent, end.state(), end.answer());
    }

    void replyReceived(InstanceId sender, ClaimMessage.ClaimReply reply, long nowNanos) {
        if (reply.incarnation() != context.incarnation) {
            return;
        }
        WaitingClaim claim = waitingByNumber.get(reply.claim());
        if (claim == null) {
            SentClaim sent = neverRunByNumber.get(reply.claim());
            if (sent != null && reply.verdict() == Verdict.GRANTED) {
                sendOutcome(sent.withOwner(sender), ClaimState.NOT_RUN, RecordableAnswer.NONE);
            }
            return;
        }
        if (nowNanos - claim.expiresNanos >= 0) {
            expire(claim);
            return;
        }
        if (reply.verdict() == Verdict.NOT_OWNER) {
            claim.resend = true;
            setTimer(claim, nowNanos);
            return;
        }
        waitingByNumber.remove(reply.claim());
        decide(claim, reply);
    }

    /** Handles a timer; returns false if the timer does not belong to a claim. */
    boolean timerFired(String key, long nowNanos) {
        if (!key.startsWith(TIMER_PREFIX)) {
            return false;
        }
        WaitingClaim claim =
                waitingByNumber.get(Long.parseLong(key.substring(TIMER_PREFIX.length())));
        if (claim == null) {
            return true;
        }
        if (nowNanos - claim.expiresNanos >= 0) {
            expire(claim);
        } else if (claim.resend) {
            waitingByNumber.remove(claim.sent.number);
            neverRunByNumber.put(claim.sent.number, claim.sent);
            SentClaim refused = claim.sent;
            // The refusing owner may have recorded the claim before it lost the partition.
            sendOutcome(refused, ClaimState.NOT_RUN, RecordableAnswer.NONE);
            sendClaim(
                    claim.request, refused.partition, refused.digest, claim.expiresNanos, nowNanos);
        } else {
            setTimer(claim, nowNanos);
        }
        return true;
    }

    private void sendClaim(
            ClaimRequest request,
            PartitionId partition,
            String digest,
            long expiresNanos,
            long nowNanos) {
        InstanceId owner = context.ranking.preferredOwner(partition);
        if (owner == null) {
            refuse(request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
            return;
        }
        lastClaimNumber++;
        SentClaim sent = new SentClaim(lastClaimNumber, partition, digest, owner);
        WaitingClaim claim = new WaitingClaim(request, sent, expiresNanos);
        waitingByNumber.put(lastClaimNumber, claim);
        setTimer(claim, nowNanos);
        context.send(
                owner,
                new ClaimMessage.ClaimAsk(
                        lastClaimNumber,
                        context.incarnation,
                        partition.group().value(),
                        partition.number(),
                        digest,
                        KeyDigest.shortened(request.fingerprint())));
    }

    private void setTimer(WaitingClaim claim, long nowNanos) {
        long delayNanos = claim.expiresNanos - nowNanos;
        if (claim.resend) {
            long retryNanos = context.settings.retryMillis() * IdempotencySettings.NANOS_PER_MILLI;
            delayNanos = Math.min(delayNanos, retryNanos);
        }
        context.setTimer(TIMER_PREFIX + claim.sent.number, delayNanos);
    }

    private void expire(WaitingClaim claim) {
        waitingByNumber.remove(claim.sent.number);
        neverRunByNumber.put(claim.sent.number, claim.sent);
        sendOutcome(claim.sent, ClaimState.NOT_RUN, RecordableAnswer.NONE);
        refuse(claim.request.request(), RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    private void decide(WaitingClaim claim, ClaimMessage.ClaimReply reply) {
        RequestId request = claim.request.request();
        switch (reply.verdict()) {
            case GRANTED -> {
                grantedByRequest.put(request, claim.sent);
                context.outbox().reportClaimDecision(new ClaimDecision.Granted(request));
                return;
            }
            case RECORDED ->
                    context.outbox()
                            .reportClaimDecision(new ClaimDecision.Replay(request, reply.answer()));
            case IN_PROGRESS -> refuse(request, RefusalReason.IN_PROGRESS, Outcome.UNKNOWN);
            case OUTCOME_UNKNOWN ->
                    refuse(request, RefusalReason.EARLIER_OUTCOME_UNKNOWN, Outcome.UNKNOWN);
            case KEY_REUSED -> refuse(request, RefusalReason.KEY_REUSED, Outcome.NOT_RUN);
            case UNAVAILABLE_NOT_RUN ->
                    refuse(request, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
            default -> refuse(request, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        }
        neverRunByNumber.put(claim.sent.number, claim.sent);
    }

    /** Reports the outcome to the granting owner and, if it differs, to the current owner. */
    private void sendOutcome(SentClaim sent, ClaimState state, RecordableAnswer answer) {
        ClaimMessage.ClaimOutcome outcome =
                new ClaimMessage.ClaimOutcome(
                        sent.number,
                        context.incarnation,
                        sent.partition.group().value(),
                        sent.partition.number(),
                        sent.digest,
                        state,
                        answer);
        context.send(sent.owner, outcome);
        InstanceId currentOwner = context.ranking.preferredOwner(sent.partition);
        if (currentOwner != null && !currentOwner.equals(sent.owner)) {
            context.send(currentOwner, outcome);
        }
    }

    private void refuse(RequestId request, RefusalReason reason, Outcome outcome) {
        long retryAfterMillis =
                reason == RefusalReason.ONCE_UNAVAILABLE ? context.settings.leaseMillis() : 0;
        Refusal refusal = new Refusal(reason, outcome, false, retryAfterMillis, Set.of());
        context.outbox().reportClaimDecision(new ClaimDecision.Refused(request, refusal));
    }

    /** A claim as sent to an owner. */
    private record SentClaim(long number, PartitionId partition, String digest, InstanceId owner) {
        SentClaim withOwner(InstanceId newOwner) {
            return new SentClaim(number, partition, digest, newOwner);
        }
    }

    /** A claim that waits for the reply of its owner. */
    private static final class WaitingClaim {
        final ClaimRequest request;
        final SentClaim sent;
        final long expiresNanos;

        /** The receiver replied {@code NOT_OWNER}; the claim is sent again after a delay. */
        boolean resend;

        WaitingClaim(ClaimRequest request, SentClaim sent, long expiresNanos) {
            this.request = request;
            this.sent = sent;
            this.expiresNanos = expiresNanos;
        }
    }
}
