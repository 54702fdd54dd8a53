package org.snipeslip.core.once;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/**
 * Claims of one partition that wait for the object API: queued ones, and those that the append or
 * read in flight covers. A claim whose asker was answered while its append was in flight is
 * abandoned: it is never granted. Bounded; a claim that finds it full is refused.
 */
final class WaitingClaims {
    private final Scope scope;
    private final Map<String, Ask> queued = new LinkedHashMap<>();
    private final Map<String, Ask> covered = new LinkedHashMap<>();
    private final Set<String> abandoned = new HashSet<>();

    WaitingClaims(Scope scope) {
        this.scope = scope;
    }

    int size() {
        return queued.size() + covered.size();
    }

    boolean isFull() {
        return size() >= scope.settings.maxWaiting();
    }

    boolean isQueueEmpty() {
        return queued.isEmpty();
    }

    /** The claim that waits for this key, or null. */
    Ask get(String digest) {
        Ask ask = queued.get(digest);
        return ask != null ? ask : covered.get(digest);
    }

    void queue(Ask ask) {
        queued.put(ask.digest(), ask);
    }

    /** Moves queued claims to the covered ones for as long as the batch takes them. */
    void cover(Batch batch) {
        Iterator<Ask> next = queued.values().iterator();
        while (next.hasNext()) {
            Ask ask = next.next();
            if (!batch.addChanged(ClaimRecord.granted(ask))) {
                return;
            }
            next.remove();
            covered.put(ask.digest(), ask);
        }
    }

    void coverAll() {
        covered.putAll(queued);
        queued.clear();
    }

    boolean isAbandoned(Ask ask) {
        return abandoned.contains(ask.digest());
    }

    /** Ends the cover and returns its claims. */
    List<Ask> takeCovered() {
        List<Ask> asks = new ArrayList<>(covered.values());
        covered.clear();
        return asks;
    }

    List<Ask> takeQueued() {
        List<Ask> asks = new ArrayList<>(queued.values());
        queued.clear();
        return asks;
    }

    void clearAbandoned() {
        abandoned.clear();
    }

    /** Drops the claim of an asker that gave up. */
    void giveUp(String digest, Grantee from) {
        Ask waiting = queued.get(digest);
        if (waiting != null && waiting.from().equals(from)) {
            queued.remove(digest);
        }
        Ask inFlight = covered.get(digest);
        if (inFlight != null && inFlight.from().equals(from)) {
            abandoned.add(digest);
        }
    }

    /** Refuses every waiting claim; covered ones are abandoned. */
    void refuseAll(Verdict verdict) {
        takeQueued().forEach(ask -> scope.reply(ask, verdict));
        for (Ask ask : covered.values()) {
            if (abandoned.add(ask.digest())) {
                scope.reply(ask, verdict);
            }
        }
    }

    /** Refuses the claims that arrived before a time; covered ones are abandoned. */
    void refuseBefore(long timeNanos, Verdict verdict) {
        Iterator<Ask> next = queued.values().iterator();
        while (next.hasNext()) {
            Ask ask = next.next();
            if (ask.arrivedNanos() - timeNanos <= 0) {
                next.remove();
                scope.reply(ask, verdict);
            }
        }
        for (Ask ask : covered.values()) {
            if (ask.arrivedNanos() - timeNanos <= 0 && abandoned.add(ask.digest())) {
                scope.reply(ask, verdict);
            }
        }
    }

    void wakeAt(Wake wake, long delayNanos) {
        // Both maps keep the order of arrival, so their first live claims are the oldest.
        queued.values().stream().limit(1).forEach(ask -> wake.at(ask.arrivedNanos() + delayNanos));
        covered.values().stream()
                .filter(ask -> !isAbandoned(ask))
                .limit(1)
                .forEach(ask -> wake.at(ask.arrivedNanos() + delayNanos));
    }

    /** Forgets everything; the askers get {@code NOT_OWNER}. */
    void stepDown() {
        refuseAll(Verdict.NOT_OWNER);
        covered.clear();
        abandoned.clear();
    }
}
