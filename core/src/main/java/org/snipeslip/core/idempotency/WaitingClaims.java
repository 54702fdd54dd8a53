package org.snipeslip.core.idempotency;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/**
 * Claims of one partition that wait for the object API: queued claims, and claims whose append or
 * read is in flight. A claim whose requester was answered or gave up while its append or read was
 * in flight is abandoned and never granted. The number of claims is limited; further claims are
 * refused.
 */
final class WaitingClaims {
    private final IdempotencyContext context;
    private final Map<String, ReceivedClaim> queued = new LinkedHashMap<>();
    private final Map<String, ReceivedClaim> inFlight = new LinkedHashMap<>();
    private final Set<String> abandoned = new HashSet<>();

    WaitingClaims(IdempotencyContext context) {
        this.context = context;
    }

    int size() {
        return queued.size() + inFlight.size();
    }

    boolean isFull() {
        return size() >= context.settings.maxWaitingClaims();
    }

    boolean isQueueEmpty() {
        return queued.isEmpty();
    }

    /** Returns the claim that waits for this key, or null. */
    ReceivedClaim get(String digest) {
        ReceivedClaim claim = queued.get(digest);
        return claim != null ? claim : inFlight.get(digest);
    }

    void queue(ReceivedClaim claim) {
        queued.put(claim.digest(), claim);
    }

    /** Adds queued claims to a batch until it is full, and marks them as in flight. */
    void moveToInFlight(SegmentBatch batch) {
        Iterator<ReceivedClaim> iterator = queued.values().iterator();
        while (iterator.hasNext()) {
            ReceivedClaim claim = iterator.next();
            if (!batch.addChanged(ClaimRecord.granted(claim))) {
                return;
            }
            iterator.remove();
            inFlight.put(claim.digest(), claim);
        }
    }

    void moveAllToInFlight() {
        inFlight.putAll(queued);
        queued.clear();
    }

    boolean isAbandoned(ReceivedClaim claim) {
        return abandoned.contains(claim.digest());
    }

    /** Removes and returns the claims in flight, abandoned ones included. */
    List<ReceivedClaim> removeInFlight() {
        List<ReceivedClaim> claims = new ArrayList<>(inFlight.values());
        inFlight.clear();
        return claims;
    }

    List<ReceivedClaim> removeQueued() {
        List<ReceivedClaim> claims = new ArrayList<>(queued.values());
        queued.clear();
        return claims;
    }

    void clearAbandoned() {
        abandoned.clear();
    }

    /** Cancels the claim of a requester that gave up; a claim in flight is abandoned. */
    void cancel(String digest, ClaimId claimId) {
        ReceivedClaim queuedClaim = queued.get(digest);
        if (queuedClaim != null && queuedClaim.claimId().equals(claimId)) {
            queued.remove(digest);
        }
        ReceivedClaim claimInFlight = inFlight.get(digest);
        if (claimInFlight != null && claimInFlight.claimId().equals(claimId)) {
            abandoned.add(digest);
        }
    }

    /** Refuses every waiting claim; claims in flight are abandoned. */
    void refuseAll(Verdict verdict) {
        removeQueued().forEach(claim -> context.reply(claim, verdict));
        for (ReceivedClaim claim : inFlight.values()) {
            if (abandoned.add(claim.digest())) {
                context.reply(claim, verdict);
            }
        }
    }

    /** Refuses the claims that arrived at or before a time; claims in flight are abandoned. */
    void refuseArrivedBefore(long timeNanos, Verdict verdict) {
        Iterator<ReceivedClaim> iterator = queued.values().iterator();
        while (iterator.hasNext()) {
            ReceivedClaim claim = iterator.next();
            if (claim.arrivedNanos() - timeNanos <= 0) {
                iterator.remove();
                context.reply(claim, verdict);
            }
        }
        for (ReceivedClaim claim : inFlight.values()) {
            if (claim.arrivedNanos() - timeNanos <= 0 && abandoned.add(claim.digest())) {
                context.reply(claim, verdict);
            }
        }
    }

    void scheduleExpiry(PartitionTimer timer, long delayNanos) {
        // Both maps keep the order of arrival, so the first claim that is not abandoned is the
        // oldest.
        queued.values().stream()
                .limit(1)
                .forEach(claim -> timer.schedule(claim.arrivedNanos() + delayNanos));
        inFlight.values().stream()
                .filter(claim -> !isAbandoned(claim))
                .limit(1)
                .forEach(claim -> timer.schedule(claim.arrivedNanos() + delayNanos));
    }

    /** Removes every claim; requesters not yet answered receive {@code NOT_OWNER}. */
    void refuseAndClear() {
        refuseAll(Verdict.NOT_OWNER);
        inFlight.clear();
        abandoned.clear();
    }
}
