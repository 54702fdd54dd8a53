package org.snipeslip.core.discovery;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which other instance is asked for changes. Candidates are asked in their order, which is
 * the same for all instances of a region, so that most of them follow the same one. An instance has
 * only candidates before itself in that order, so that the first one that is alive follows the
 * store. It is followed as long as it answers each poll in time. An instance that has lost the
 * store asks any other one, also one that follows another itself.
 */
final class PeerFollower {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Pause after the refusal of one that is about to follow the store. */
    private static final long SEEK_PAUSE_MILLIS = 50;

    /** If none of these answers, the store is a shorter way than the next candidate. */
    private static final int MAX_CANDIDATES = 3;

    private final PeerSettings settings;
    private final long pollWaitMillis;
    private final PeerSearch search;
    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
    private List<String> candidates = List.of();
    private DiscoveryRequest.PeerPoll pending;

    /** The poll to repeat for all objects, because the changes since are not known; or null. */
    private DiscoveryRequest.PeerPoll askWhole;

    /** Whether the last poll was of an instance that comes before the followed one. */
    private boolean triedOther;

    /** The followed instance, or null while the store is followed. */
    private String followed;

    /** Whether the followed instance was found by the search, and may follow another one itself. */
    private boolean indirect;

    /** Whether the followed instance was lost, and the store is not asked yet. */
    private boolean seeking;

    private long attempts;
    private long dueNanos;

    PeerFollower(PeerSettings settings) {
        this(settings, settings.pollMillis());
    }

    /**
     * Creates a follower that asks nobody yet.
     *
     * @param pollWaitMillis maximum wait of a poll of the followed instance
     */
    PeerFollower(PeerSettings settings, long pollWaitMillis) {
        this.settings = settings;
        this.pollWaitMillis = pollWaitMillis;
        this.search = new PeerSearch(settings.pollMillis() * NANOS_PER_MILLI);
    }

    /**
     * Replaces the candidates; a followed instance that is none any more is still followed.
     *
     * @param addresses the instances of the region that come before this one
     * @param all all other instances, which are asked if the store is lost
     */
    void setCandidates(List<String> addresses, List<String> all, long nowNanos) {
        candidates = List.copyOf(addresses.subList(0, Math.min(MAX_CANDIDATES, addresses.size())));
        search.setAddresses(all);
        avoidedUntilNanos
                .keySet()
                .removeIf(address -> !candidates.contains(address) && !all.contains(address));
        dueNanos = Math.min(dueNanos, nowNanos);
    }

    /** Sets whether another instance is looked for before the store is asked. */
    void setSeeking(boolean newSeeking) {
        seeking = newSeeking;
    }

    /** Returns whether another instance is followed instead of the store. */
    boolean isFollowing() {
        return followed != null;
    }

    /** Returns whether the followed instance may follow another one itself. */
    boolean isIndirect() {
        return followed != null && indirect;
    }

    /** Returns the address of the followed instance, or null while the store is followed. */
    String followed() {
        return followed;
    }

    /** Returns whether an instance is being asked, or one can be asked before a time. */
    boolean hasCandidateBefore(long limitNanos) {
        return pending != null || nextCandidate(limitNanos) != null;
    }

    /**
     * Returns when to call {@link #dueRequest} next, or {@link Long#MAX_VALUE} for never.
     *
     * @param lost whether this instance has lost the store and knows of no recent changes
     */
    long dueNanos(boolean lost) {
        if (pending != null) {
            return NEVER;
        }
        return lost ? Math.min(dueNanos, search.dueNanos()) : dueNanos;
    }

    /**
     * Returns the next poll and marks it as pending, or returns null if none is due.
     *
     * @param revisions what this instance knows of each kind
     * @param lost whether this instance has lost the store and knows of no recent changes
     */
    DiscoveryRequest dueRequest(
            Map<DiscoveryKind, StoreRevision> revisions, boolean lost, long nowNanos) {
        if (nowNanos < dueNanos(lost)) {
            return null;
        }
        boolean whole = askWhole != null || revisions.containsValue(StoreRevision.NONE);
        String found = null;
        if (askWhole == null && lost) {
            found = search.next(each -> isAskable(each, nowNanos), nowNanos);
        }
        boolean searching = found != null || askWhole != null && askWhole.indirect();
        String address = found;
        if (address == null) {
            address = askWhole != null ? askWhole.address() : nextAddress(nowNanos);
        }
        askWhole = null;
        if (address == null) {
            // All candidates are avoided; an earlier one that is none any more does not count.
            dueNanos =
                    candidates.stream()
                            .map(avoidedUntilNanos::get)
                            .min(Long::compare)
                            .orElse(NEVER);
            return null;
        }
        // Another one is only tried, so that the followed one is soon heard again.
        triedOther = !address.equals(followed);
        long waitMillis = triedOther ? 0 : pollWaitMillis;
        Map<DiscoveryKind, StoreRevision> since = revisions;
        if (whole) {
            since = new EnumMap<>(revisions);
            since.replaceAll((kind, revision) -> StoreRevision.NONE);
        }
        boolean mayFollow = triedOther ? searching : indirect;
        pending = new DiscoveryRequest.PeerPoll(address, since, waitMillis, mayFollow, ++attempts);
        return pending;
    }

    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending);
    }

    /** Returns whether the response to a poll has all objects instead of the changes. */
    boolean isList(DiscoveryRequest request) {
        return request instanceof DiscoveryRequest.PeerPoll poll && isWhole(poll);
    }

    /**
     * Handles the response to the pending poll.
     *
     * @param revisions what this instance knows of each kind now
     */
    Result handleResponse(
            DiscoveryResponse response,
            Map<DiscoveryKind, StoreRevision> revisions,
            long nowNanos) {
        DiscoveryRequest.PeerPoll poll = pending;
        pending = null;
        dueNanos = nowNanos;
        if (response instanceof DiscoveryResponse.HistoryDiscarded && !isWhole(poll)) {
            askWhole = poll;
            return Result.IGNORE;
        }
        if (!(response instanceof DiscoveryResponse.PeerChanges peer) || !isUsable(peer, poll)) {
            return lose(poll, response);
        }
        if (isWhole(poll) && isOlder(peer, revisions)) {
            return lose(poll, response);
        }
        if (!isWhole(poll) && !poll.revisions().equals(revisions)) {
            // The store was faster; changes since an older revision could undo what it reported.
            return Result.IGNORE;
        }
        if (peer.ageMillis() > settings.maxAgeMillis()) {
            if (poll.address().equals(followed)) {
                return Result.APPLY_OLD;
            }
            avoid(poll.address(), nowNanos, settings.pollMillis());
            return revisions.containsValue(StoreRevision.NONE) ? Result.APPLY_OLD : Result.IGNORE;
        }
        boolean first = followed == null;
        followed = poll.address();
        indirect = poll.indirect();
        search.end();
        triedOther = false;
        return first ? Result.APPLY_FIRST : Result.APPLY;
    }

    /** Ignores the response to the pending poll. */
    void cancel(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
    }

    /** Follows the store from now on; the instance followed so far is not asked for a while. */
    void leave(long nowNanos) {
        if (followed != null) {
            avoid(followed, nowNanos, settings.avoidMillis());
        }
        followed = null;
        cancel(nowNanos);
    }

    private Result lose(DiscoveryRequest.PeerPoll poll, DiscoveryResponse response) {
        // One that refuses is alive and may soon know more.
        boolean refused =
                !(response instanceof DiscoveryResponse.Failed failed) || failed.refused();
        long refusedMillis = seeking ? SEEK_PAUSE_MILLIS : settings.pollMillis();
        avoid(poll.address(), dueNanos, refused ? refusedMillis : settings.avoidMillis());
        if (!poll.address().equals(followed)) {
            return Result.IGNORE;
        }
        followed = null;
        return Result.LOST;
    }

    private void avoid(String address, long nowNanos, long millis) {
        avoidedUntilNanos.put(address, nowNanos + millis * NANOS_PER_MILLI);
    }

    /**
     * Returns whether a response covers all kinds. Its revisions may be lower than those of the
     * poll: the other instance learns the revision of a kind only with a change, and tells changes
     * after the revision of the poll only.
     */
    private static boolean isUsable(
            DiscoveryResponse.PeerChanges peer, DiscoveryRequest.PeerPoll poll) {
        return peer.changes().keySet().containsAll(poll.revisions().keySet());
    }

    /** Returns the followed instance, or one that comes before it after each of its answers. */
    private String nextAddress(long nowNanos) {
        String candidate = nextCandidate(nowNanos);
        boolean stay = followed != null && (triedOther || candidate == null);
        return stay ? followed : candidate;
    }

    private String nextCandidate(long nowNanos) {
        for (String candidate : candidates) {
            Long untilNanos = avoidedUntilNanos.get(candidate);
            if (untilNanos == null || nowNanos >= untilNanos) {
                return candidate;
            }
        }
        return null;
    }

    private boolean isAskable(String address, long nowNanos) {
        Long untilNanos = avoidedUntilNanos.get(address);
        return !address.equals(followed) && (untilNanos == null || nowNanos >= untilNanos);
    }

    private static boolean isWhole(DiscoveryRequest.PeerPoll poll) {
        return poll.revisions().containsValue(StoreRevision.NONE);
    }

    private static boolean isOlder(
            DiscoveryResponse.PeerChanges peer, Map<DiscoveryKind, StoreRevision> revisions) {
        return revisions.entrySet().stream()
                .anyMatch(
                        known ->
                                known.getValue()
                                        .isAfter(peer.changes().get(known.getKey()).revision()));
    }

    /** What a response to a poll means. */
    enum Result {
        /** The response changes nothing. */
        IGNORE,
        /** The changes are to be applied, and the instance is followed from now on. */
        APPLY_FIRST,
        /** The changes are to be applied. */
        APPLY,
        /** The changes are to be applied, but the instance that was asked has lost the store. */
        APPLY_OLD,
        /** The followed instance is gone; the store is to be followed. */
        LOST
    }
}
