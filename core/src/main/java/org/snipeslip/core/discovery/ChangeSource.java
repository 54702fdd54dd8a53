package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides from whom an instance hears of changes: from the store, or from another instance. Its
 * state has the lock of the {@link DiscoveryEngine}.
 */
final class ChangeSource {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int POLLS_PER_MAX_PROOF_AGE = 20;

    /** Part of the wait of a poll for which another instance is looked for before the store. */
    private static final int SEEKS_PER_POLL = 2;

    private final PeerSettings settings;
    private final WatchSettings watch;
    private final OutageDetector outage;
    private final WatchCaches caches;
    private final InstanceRegistry registry;
    private final PeerFollower follower;
    private final StartPhase start;
    private final StoreProbe storeProbe = new StoreProbe();

    /** When the store, or the followed instance, last showed what the store holds. */
    private long knownAsOfNanos;

    /** Whether other instances follow this one; it then stays with the store. */
    private boolean followed;

    private long followedUntilNanos = NEVER;

    /** Until when another instance is looked for after the followed one was lost. */
    private long seekEndNanos = NEVER;

    /**
     * Creates a source that is the store.
     *
     * @param settings settings of discovery; without those of peers, only the store is asked
     */
    ChangeSource(
            DiscoveryEngineSettings settings,
            OutageDetector outage,
            WatchCaches caches,
            InstanceRegistry registry) {
        this.settings = settings.peers();
        this.watch = settings.watch();
        this.outage = outage;
        this.caches = caches;
        this.registry = registry;
        this.follower =
                this.settings == null
                        ? null
                        : new PeerFollower(
                                this.settings, pollWaitMillis(settings.maxProofAgeMillis()));
        this.start =
                new StartPhase(
                        this.settings == null ? 0 : this.settings.startMillis(),
                        watch.batchMillis());
    }

    /** A proof is dated from the sending of the poll, so that a long wait would make it old. */
    private long pollWaitMillis(long maxProofAgeMillis) {
        return maxProofAgeMillis == 0
                ? settings.pollMillis()
                : Math.min(settings.pollMillis(), maxProofAgeMillis / POLLS_PER_MAX_PROOF_AGE);
    }

    /** Returns whether other instances may be asked at all. */
    boolean hasPeers() {
        return follower != null;
    }

    /** Returns whether changes are heard from another instance. */
    boolean followsPeer() {
        return follower != null && follower.isFollowing();
    }

    /** Returns whether changes are heard from the store, and no other instance is looked for. */
    boolean followsStore() {
        return watchesStore() && !start.isActive();
    }

    private boolean watchesStore() {
        return !followsPeer() && !isSeeking();
    }

    /** Returns the address of the followed instance, or empty if the store is followed. */
    String address() {
        return followsPeer() ? follower.followed() : "";
    }

    /** Returns how old the knowledge of this instance is. */
    long ageMillis(long nowNanos) {
        return Math.max(0, nowNanos - knownAsOfNanos) / NANOS_PER_MILLI;
    }

    long knownAsOfNanos() {
        return knownAsOfNanos;
    }

    /** Records when the store was known to hold what this instance knows. */
    void knownAsOf(long asOfNanos) {
        knownAsOfNanos = asOfNanos;
    }

    /** Reads the lists at once, because callers may be waiting; the watches wait for others. */
    void start(long nowNanos) {
        caches.all().forEach(WatchCache::suspend);
        caches.all().forEach(cache -> cache.resumeList(nowNanos));
        start.begin(nowNanos);
    }

    /** Learns of the other instances after their list was read. */
    void instancesListed(long nowNanos) {
        if (follower != null) {
            follower.setCandidates(registry.peersBefore(), registry.allPeers(), nowNanos);
        }
    }

    /**
     * Returns whether this instance may tell another one what it knows.
     *
     * @param indirect whether it may although it follows another one itself
     */
    boolean mayTell(boolean indirect) {
        return caches.areComplete() && !start.isActive() && (indirect || watchesStore());
    }

    /** Records that another instance was told; returns whether requests may have become due. */
    boolean told(long nowNanos) {
        if (!watchesStore()) {
            return false;
        }
        followedUntilNanos = nowNanos + settings.followedMillis() * NANOS_PER_MILLI;
        if (followed) {
            return false;
        }
        setFollowed(true, nowNanos);
        // The pending backup watches wait longer than others can rely on.
        caches.all().forEach(cache -> cache.restartBackupWatch(nowNanos));
        return true;
    }

    /** Notices that other instances no longer follow this one. */
    void expireFollowers(long nowNanos) {
        if (nowNanos >= followedUntilNanos) {
            followedUntilNanos = NEVER;
            setFollowed(false, nowNanos);
        }
    }

    boolean isFollowed() {
        return followed;
    }

    private void setFollowed(boolean newFollowed, long nowNanos) {
        if (followed == newFollowed) {
            return;
        }
        followed = newFollowed;
        long batchMillis = followed ? settings.followedBatchMillis() : watch.batchMillis();
        for (WatchCache cache : caches.all()) {
            cache.setFollowed(followed, batchMillis, nowNanos);
        }
    }

    boolean awaits(DiscoveryRequest request) {
        return follower != null && follower.awaits(request);
    }

    /** Returns whether a request is the pending probe of the store, which then has ended. */
    boolean endsStoreProbe(DiscoveryRequest request) {
        return storeProbe.ends(request);
    }

    /** Returns whether the response to a poll has all objects instead of the changes. */
    boolean isList(DiscoveryRequest request) {
        return follower.isList(request);
    }

    /**
     * Handles the response to a poll.
     *
     * @return whether it has changes to be applied
     */
    boolean handlePeerResponse(DiscoveryResponse response, long nowNanos) {
        if (followed && !follower.isFollowing() && !hasLostStore(nowNanos)) {
            // Others have come to depend on this instance since it asked.
            follower.cancel(nowNanos);
            return false;
        }
        return switch (follower.handleResponse(response, caches.revisions(), nowNanos)) {
            case APPLY_FIRST, APPLY -> {
                followPeer(nowNanos);
                yield true;
            }
            case APPLY_OLD -> {
                if (!follower.isFollowing()) {
                    followStore(nowNanos);
                } else {
                    storeProbe.schedule(nowNanos);
                }
                yield true;
            }
            case LOST -> {
                seek(nowNanos);
                yield false;
            }
            case IGNORE -> false;
        };
    }

    private void followPeer(long nowNanos) {
        caches.all().forEach(WatchCache::suspend);
        start.end();
        stopSeeking();
        if (follower.isIndirect()) {
            storeProbe.schedule(nowNanos + storeProbeNanos());
        } else {
            storeProbe.cancel();
        }
        // Before the changes are applied, so that servers that were removed in an outage are kept.
        outage.recordSuccess(nowNanos);
    }

    /**
     * Looks for another instance to follow before the store is asked: all that followed the same
     * one have lost it at the same time, and one of them is enough for the store.
     */
    private void seek(long nowNanos) {
        storeProbe.cancel();
        seekEndNanos = nowNanos + settings.pollMillis() / SEEKS_PER_POLL * NANOS_PER_MILLI;
        follower.setSeeking(true);
        endSeek(nowNanos);
    }

    private void endSeek(long nowNanos) {
        boolean over = nowNanos >= seekEndNanos;
        if (over || isSeeking() && !follower.hasCandidateBefore(seekEndNanos)) {
            followStore(nowNanos);
        }
    }

    private boolean isSeeking() {
        return seekEndNanos != NEVER;
    }

    private void stopSeeking() {
        seekEndNanos = NEVER;
        if (follower != null) {
            follower.setSeeking(false);
        }
    }

    private void followStore(long nowNanos) {
        start.end();
        stopSeeking();
        storeProbe.cancel();
        caches.all().forEach(cache -> cache.resume(nowNanos));
    }

    void handleStoreProbe(DiscoveryResponse response, long nowNanos) {
        if (!follower.isFollowing()) {
            return;
        }
        if (response instanceof DiscoveryResponse.Failed) {
            if (!follower.isIndirect()) {
                outage.recordFailure(nowNanos);
            }
            storeProbe.schedule(nowNanos + storeProbeNanos());
        } else {
            outage.recordSuccess(nowNanos);
            follower.leave(nowNanos);
            seek(nowNanos);
        }
    }

    private long storeProbeNanos() {
        return settings.storeProbeMillis() * NANOS_PER_MILLI;
    }

    /** Watches the store itself if no other instance is there, or the start has taken too long. */
    void endStart(long nowNanos) {
        endSeek(nowNanos);
        if (!start.isActive() || follower.isFollowing()) {
            return;
        }
        if (caches.areComplete()) {
            start.listsRead(knownAsOfNanos);
        }
        // Without others in the list, they may be starting too.
        boolean alone = registry.knowsOthers() && !follower.hasCandidateBefore(start.endNanos());
        if (nowNanos >= start.endNanos() || alone) {
            followStore(nowNanos);
        }
    }

    /** Returns the requests that are due, marked as pending. */
    List<DiscoveryRequest> dueRequests(long nowNanos) {
        List<DiscoveryRequest> due = new ArrayList<>(1);
        if (follower != null) {
            boolean lost = hasLostStore(nowNanos);
            DiscoveryRequest poll =
                    mayFollow(lost)
                            ? follower.dueRequest(caches.revisions(), lost, nowNanos)
                            : null;
            if (poll != null) {
                due.add(poll);
            }
        }
        StoreRevision known = caches.get(DiscoveryKind.EVACUATIONS).revision();
        DiscoveryRequest probe = storeProbe.dueRequest(known, nowNanos);
        if (probe != null) {
            due.add(probe);
        }
        return due;
    }

    /** Returns when something is due next, or {@link Long#MAX_VALUE} for never. */
    long dueNanos(long nowNanos) {
        long due = Math.min(storeProbe.dueNanos(), followedUntilNanos);
        due = Math.min(due, Math.min(start.endNanos(), seekEndNanos));
        return follower == null ? due : Math.min(due, peerDueNanos(nowNanos));
    }

    private long peerDueNanos(long nowNanos) {
        boolean lost = hasLostStore(nowNanos);
        // Whole lists are asked for only if the store does not answer.
        if (mayFollow(lost) && (caches.areComplete() || outage.isFailing())) {
            return follower.dueNanos(lost);
        }
        long lostNanos = knownAsOfNanos + (settings.maxAgeMillis() + 1) * NANOS_PER_MILLI;
        return outage.isFailing() ? lostNanos : NEVER;
    }

    /** Returns whether another instance may be asked: not by one that others follow. */
    private boolean mayFollow(boolean lost) {
        return !followed || follower.isFollowing() || lost;
    }

    /** Returns whether the store does not answer, and what is known is too old to be relied on. */
    private boolean hasLostStore(long nowNanos) {
        return outage.isFailing() && ageMillis(nowNanos) > settings.maxAgeMillis();
    }
}
