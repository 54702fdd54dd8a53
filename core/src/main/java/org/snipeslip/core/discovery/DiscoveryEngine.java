package org.snipeslip.core.discovery;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Keeps copies of the configuration, servers and evacuations in the store and publishes a new
 * configuration set after each change. Every public method except {@link #config} holds the lock of
 * the engine, which is the first in the lock order.
 */
public final class DiscoveryEngine {
    private static final TimerId TIMER = new TimerId(EngineName.CONTROL, "fleet");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final DiscoveryEngineSettings settings;
    private final OutageDetector outage;
    private final WatchCaches caches;
    private final ConfigSetBuilder configSetBuilder;
    private final InstanceRegistry registry;

    /** Null if only the store is asked. */
    private final PeerFollower follower;

    private final StoreProbe storeProbe = new StoreProbe();

    /** The latest era of the store that a response has shown, or a negative number before that. */
    private long era = StoreRevision.NONE.era();

    /** Until then, other instances are looked for before the store is watched. */
    private long startEndNanos = NEVER;

    /** When the store, or the followed instance, last showed what the store holds. */
    private long knownAsOfNanos;

    /** Whether other instances follow this one; it then stays with the store. */
    private boolean followed;

    private long followedUntilNanos = NEVER;
    private long timerDueNanos = NEVER;

    /**
     * Creates an engine without configuration.
     *
     * @param settings settings of discovery
     * @param seed seed of the random jitter of retries
     */
    public DiscoveryEngine(DiscoveryEngineSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        this.settings = settings;
        this.outage = new OutageDetector(settings.watch());
        this.caches = new WatchCaches(settings.watch(), outage, random);
        this.configSetBuilder = new ConfigSetBuilder(settings);
        this.registry = new InstanceRegistry(settings);
        this.follower = settings.peers() == null ? null : new PeerFollower(settings.peers());
    }

    /**
     * Returns whether configuration, servers and evacuations have all been read.
     *
     * @return true once calls can be served
     */
    public synchronized boolean isComplete() {
        return configSetBuilder.config() != null && caches.areComplete();
    }

    /**
     * Returns the share of this instance in the limits that apply to all instances together.
     *
     * @return number of instances and position of this one among them
     */
    public synchronized InstanceShare share() {
        return registry.share();
    }

    /**
     * Returns the other instances that can be reached, as far as they are known.
     *
     * @return instances with an address
     */
    public synchronized List<SuspectPeer> otherInstances() {
        return settings.peers() == null ? List.of() : registry.others();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or null before the first one was read
     */
    public DiscoveredConfig config() {
        return configSetBuilder.config();
    }

    /**
     * Returns whether changes are heard from another instance.
     *
     * @return false if the store is followed
     */
    public synchronized boolean followsPeer() {
        return follower != null && follower.isFollowing();
    }

    /**
     * Answers the poll of another instance.
     *
     * @param revisions for each kind, up to which revision the other one knows all changes
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     * @return the changes since then, or a failure if this instance does not follow the store
     *     itself or no longer knows all of them
     */
    public synchronized DiscoveryResponse answerPeer(
            Map<DiscoveryKind, StoreRevision> revisions, long nowNanos, Outbox outbox) {
        if (!caches.areComplete() || followsPeer()) {
            return new DiscoveryResponse.Failed(true, "does not follow the store");
        }
        if (revisions.values().stream().anyMatch(known -> known.era() > era)) {
            return new DiscoveryResponse.Failed(true, "does not know that era of the store");
        }
        Map<DiscoveryKind, DiscoveryResponse.Changes> changes = caches.changesSince(revisions);
        if (changes == null) {
            return new DiscoveryResponse.HistoryDiscarded();
        }
        followedUntilNanos = nowNanos + settings.peers().followedMillis() * NANOS_PER_MILLI;
        if (!followed) {
            setFollowed(true, nowNanos);
            // The pending backup watches wait longer than others can rely on.
            caches.all().forEach(cache -> cache.restartBackupWatch(nowNanos));
            sendDueRequests(nowNanos, outbox);
            setTimer(nowNanos, outbox);
        }
        return new DiscoveryResponse.PeerChanges(changes, ageMillis(nowNanos));
    }

    /**
     * Handles an event of discovery.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        if (nowNanos >= followedUntilNanos) {
            followedUntilNanos = NEVER;
            setFollowed(false, nowNanos);
        }
        switch (event) {
            case Event.Started started -> start(nowNanos, outbox);
            case Event.DiscoveryResponded answered -> handleResponse(answered, nowNanos, outbox);
            case Event.TimerFired fired when fired.timer().equals(TIMER) ->
                    handleTimer(nowNanos, outbox);
            default -> {
                return;
            }
        }
        sendDueRequests(nowNanos, outbox);
        setTimer(nowNanos, outbox);
    }

    private void start(long nowNanos, Outbox outbox) {
        send(registry.start(nowNanos), outbox);
        if (follower == null) {
            caches.all().forEach(cache -> send(cache.start(), outbox));
        } else {
            // The lists are read at once, because callers may be waiting; the watches wait for
            // peers.
            caches.all().forEach(WatchCache::suspend);
            caches.all().forEach(cache -> cache.resumeList(nowNanos));
            startEndNanos = nowNanos + settings.peers().startMillis() * NANOS_PER_MILLI;
        }
    }

    private void handleResponse(Event.DiscoveryResponded answered, long nowNanos, Outbox outbox) {
        DiscoveryRequest request = answered.request();
        DiscoveryResponse response = answered.response();
        if (!(request instanceof DiscoveryRequest.PeerPoll)) {
            observeEra(response.era(), nowNanos, outbox);
        }
        if (registry.awaits(request)) {
            if (registry.handleResponse(response, nowNanos) && follower != null) {
                follower.setCandidates(registry.peersBefore(), nowNanos);
            }
        } else if (follower != null && follower.awaits(request)) {
            handlePeerResponse(request, response, nowNanos, outbox);
        } else if (storeProbe.ends(request)) {
            handleStoreProbe(response, nowNanos);
        } else {
            handleStoreResponse(request, response, nowNanos, outbox);
        }
        readStoreWithoutPeers(nowNanos);
    }

    private void handleStoreResponse(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos, Outbox outbox) {
        WatchCache cache = caches.get(request.kind());
        if (cache == null || !cache.awaits(request)) {
            return;
        }
        if (!(response instanceof DiscoveryResponse.Failed)) {
            knownAsOfNanos = nowNanos;
        }
        boolean wasFailing = outage.isFailing();
        boolean changed = cache.handleResponse(request, response, nowNanos);
        if (wasFailing && !outage.isFailing()) {
            // Watches that were pending during the failure may never receive a response.
            caches.all().forEach(each -> each.restartWatches(nowNanos));
        }
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
    }

    /**
     * After the store was restored from a copy, reads everything again: revisions of the earlier
     * era say nothing about the later one.
     */
    private void observeEra(long newEra, long nowNanos, Outbox outbox) {
        if (newEra <= era) {
            return;
        }
        if (era >= 0) {
            outage.recordRestored(nowNanos);
            caches.all().forEach(cache -> cache.relistForEra(newEra, nowNanos));
            registry.storeRestored(newEra, nowNanos);
            outbox.add(new Action.StoreRestored(era, newEra));
        }
        era = newEra;
    }

    private void handlePeerResponse(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos, Outbox outbox) {
        if (followed && !follower.isFollowing()) {
            // Others have come to depend on this instance since it asked.
            follower.cancel(nowNanos);
            return;
        }
        boolean isList = follower.isList(request);
        switch (follower.handleResponse(response, caches.revisions(), nowNanos)) {
            case APPLY_FIRST, APPLY -> {
                caches.all().forEach(WatchCache::suspend);
                startEndNanos = NEVER;
                storeProbe.cancel();
                // Before the changes, so that servers that were removed in an outage are kept.
                outage.recordSuccess(nowNanos);
                applyPeer((DiscoveryResponse.PeerChanges) response, isList, nowNanos, outbox);
            }
            case APPLY_OLD -> {
                applyPeer((DiscoveryResponse.PeerChanges) response, isList, nowNanos, outbox);
                if (!follower.isFollowing()) {
                    followStore(nowNanos);
                } else {
                    storeProbe.schedule(nowNanos);
                }
            }
            case LOST -> followStore(nowNanos);
            case IGNORE -> {
                // The next poll is due, perhaps at another instance.
            }
            default -> throw new IllegalStateException("unexpected result of a poll");
        }
    }

    private void applyPeer(
            DiscoveryResponse.PeerChanges peer, boolean isList, long nowNanos, Outbox outbox) {
        observeEra(peer.era(), nowNanos, outbox);
        knownAsOfNanos = nowNanos - peer.ageMillis() * NANOS_PER_MILLI;
        boolean changed = false;
        for (Map.Entry<DiscoveryKind, DiscoveryResponse.Changes> news : peer.changes().entrySet()) {
            WatchCache cache = caches.get(news.getKey());
            changed |=
                    isList
                            ? cache.applyPeerList(news.getValue(), nowNanos)
                            : cache.applyPeerChanges(news.getValue(), knownAsOfNanos, nowNanos);
        }
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
    }

    private void handleStoreProbe(DiscoveryResponse response, long nowNanos) {
        if (!follower.isFollowing()) {
            return;
        }
        if (response instanceof DiscoveryResponse.Failed) {
            outage.recordFailure(nowNanos);
            storeProbe.schedule(nowNanos + settings.peers().storeProbeMillis() * NANOS_PER_MILLI);
        } else {
            outage.recordSuccess(nowNanos);
            follower.leave(nowNanos);
            followStore(nowNanos);
        }
    }

    private void followStore(long nowNanos) {
        startEndNanos = NEVER;
        storeProbe.cancel();
        caches.all().forEach(cache -> cache.resume(nowNanos));
    }

    /** Watches the store itself if no other instance is there, or the start has taken too long. */
    private void readStoreWithoutPeers(long nowNanos) {
        if (startEndNanos == NEVER || follower.isFollowing()) {
            return;
        }
        // Without others in the list, they may be starting too.
        boolean alone = registry.knowsOthers() && !follower.hasCandidateBefore(startEndNanos);
        if (nowNanos >= startEndNanos || alone) {
            followStore(nowNanos);
        }
    }

    private void handleTimer(long nowNanos, Outbox outbox) {
        timerDueNanos = NEVER;
        boolean changed = caches.applyDue(nowNanos);
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
        readStoreWithoutPeers(nowNanos);
    }

    private void setFollowed(boolean newFollowed, long nowNanos) {
        if (followed == newFollowed) {
            return;
        }
        followed = newFollowed;
        long batchMillis =
                followed ? settings.peers().followedBatchMillis() : settings.watch().batchMillis();
        for (WatchCache cache : caches.all()) {
            cache.setFollowed(followed, batchMillis, nowNanos);
        }
    }

    private void sendDueRequests(long nowNanos, Outbox outbox) {
        for (WatchCache cache : caches.all()) {
            cache.dueRequests(nowNanos).forEach(request -> send(request, outbox));
        }
        send(registry.dueRequest(nowNanos), outbox);
        if (follower != null && !followed) {
            send(follower.dueRequest(caches.revisions(), nowNanos), outbox);
        }
        StoreRevision evacuationsRevision = caches.get(DiscoveryKind.EVACUATIONS).revision();
        send(storeProbe.dueRequest(evacuationsRevision, nowNanos), outbox);
    }

    /**
     * Returns whether another instance may be asked: not by one that others follow, and for whole
     * lists only if the store does not answer.
     */
    private boolean mayAskPeers() {
        return follower != null
                && (!followed || follower.isFollowing())
                && (caches.areComplete() || outage.isFailing());
    }

    private void publishConfigSet(long nowNanos, Outbox outbox) {
        for (DiscoveryObject object : caches.get(DiscoveryKind.CONFIG).objects().values()) {
            if (object.record() instanceof DiscoveryRecord.Config(DiscoveredConfig config)) {
                configSetBuilder.updateConfig(config);
            }
        }
        if (isComplete()) {
            outbox.add(
                    new Action.ConfigAdopted(
                            configSetBuilder.build(
                                    caches.get(DiscoveryKind.SERVERS).objects(),
                                    caches.get(DiscoveryKind.EVACUATIONS).objects(),
                                    nowNanos),
                            origin(nowNanos)));
        }
    }

    private ConfigOrigin origin(long nowNanos) {
        return new ConfigOrigin(
                configSetBuilder.config().version(),
                followsPeer() ? follower.followed() : "",
                caches.revisions(),
                ageMillis(nowNanos));
    }

    private long ageMillis(long nowNanos) {
        return Math.max(0, nowNanos - knownAsOfNanos) / NANOS_PER_MILLI;
    }

    private static void send(DiscoveryRequest request, Outbox outbox) {
        if (request != null) {
            outbox.add(new Action.SendDiscoveryRequest(request));
        }
    }

    private void setTimer(long nowNanos, Outbox outbox) {
        long due = Math.min(registry.dueNanos(), storeProbe.dueNanos());
        due = Math.min(due, startEndNanos);
        due = Math.min(due, caches.dueNanos());
        due = Math.min(due, followedUntilNanos);
        if (mayAskPeers()) {
            due = Math.min(due, follower.dueNanos());
        }
        if (due < timerDueNanos) {
            timerDueNanos = due;
            outbox.add(new Action.SetTimer(TIMER, Math.max(0, due - nowNanos)));
        }
    }
}
