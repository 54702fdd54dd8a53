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
import org.snipeslip.core.quota.QuotaStanding;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Keeps copies of the configuration, servers and evacuations in the store and publishes a new
 * configuration set after each change. Every public method except {@link #config} and {@link
 * #proof} holds the lock of the engine, which is the first in the lock order.
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

    private final ChangeSource source;
    private final ProofKeeper proofs;

    /** The latest era of the store that a response has shown, or a negative number before that. */
    private long era = StoreRevision.NONE.era();

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
        this.caches = new WatchCaches(settings.watch(), outage, random, settings.rollout() != null);
        this.configSetBuilder = new ConfigSetBuilder(settings);
        this.registry = new InstanceRegistry(settings);
        this.source = new ChangeSource(settings, outage, caches, registry);
        this.proofs = new ProofKeeper(settings.maxProofAgeMillis());
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
     * @return the instances, and whether this one has a part
     */
    public synchronized InstanceShare share() {
        return registry.share();
    }

    /**
     * Counts another instance that has told of itself.
     *
     * @param instance the other instance
     * @return false if it cannot be counted
     */
    public synchronized boolean instanceAnnounced(DiscoveryRecord.Instance instance) {
        return registry.announced(instance);
    }

    /**
     * Returns what the list of instances shows about this one.
     *
     * @return unknown until the list is settled
     */
    public synchronized QuotaStanding quotaStanding() {
        return registry.standing();
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
     * Returns as of when the configuration in force is known to be the newest one. A caller that
     * keeps a copy of the configuration also has to compare the version.
     *
     * @return the proof; none where {@link DiscoveryEngineSettings#maxProofAgeMillis} is 0
     */
    public ConfigProof proof() {
        return proofs.proof();
    }

    /**
     * Returns when the store was known to hold what this instance knows, which cheap answers of the
     * store may show too early.
     *
     * @return time of the monotonic clock
     */
    public synchronized long knownAsOfNanos() {
        return source.knownAsOfNanos();
    }

    /**
     * Returns whether changes are heard from another instance.
     *
     * @return false if the store is followed
     */
    public synchronized boolean followsPeer() {
        return source.followsPeer();
    }

    /**
     * Answers the poll of another instance.
     *
     * @param revisions for each kind, up to which revision the other one knows all changes
     * @param indirect whether this instance may answer although it follows another one
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     * @return the changes since then, or a failure if this instance does not follow the store
     *     itself or no longer knows all of them
     */
    public synchronized DiscoveryResponse answerPeer(
            Map<DiscoveryKind, StoreRevision> revisions,
            boolean indirect,
            long nowNanos,
            Outbox outbox) {
        if (!source.mayTell(indirect)) {
            return new DiscoveryResponse.Failed(true, "does not follow the store");
        }
        if (revisions.values().stream().anyMatch(known -> known.era() > era)) {
            return new DiscoveryResponse.Failed(true, "does not know that era of the store");
        }
        Map<DiscoveryKind, DiscoveryResponse.Changes> changes = caches.changesSince(revisions);
        if (changes == null) {
            return new DiscoveryResponse.HistoryDiscarded();
        }
        if (source.told(nowNanos)) {
            sendDueRequests(nowNanos, outbox);
            setTimer(nowNanos, outbox);
        }
        return new DiscoveryResponse.PeerChanges(
                changes, source.ageMillis(nowNanos), proof().ageMillis(nowNanos));
    }

    /**
     * Handles an event of discovery.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        source.expireFollowers(nowNanos);
        switch (event) {
            case Event.Started started -> start(nowNanos, outbox);
            case Event.DiscoveryResponded answered -> handleResponse(answered, nowNanos, outbox);
            case Event.AnnouncementEnded ended ->
                    registry.announcementEnded(ended.sent(), ended.delivered(), nowNanos);
            case Event.ClockJumped jumped -> proofs.clockJumped();
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
        send(registry.start(nowNanos), nowNanos, outbox);
        if (source.hasPeers()) {
            source.start(nowNanos);
        } else {
            caches.all().forEach(cache -> send(cache.start(), nowNanos, outbox));
        }
    }

    private void handleResponse(Event.DiscoveryResponded answered, long nowNanos, Outbox outbox) {
        DiscoveryRequest request = answered.request();
        DiscoveryResponse response = answered.response();
        long sentNanos = proofs.ended(request);
        if (!(request instanceof DiscoveryRequest.PeerPoll)) {
            observeEra(response.era(), nowNanos, outbox);
        }
        if (registry.awaits(request)) {
            if (registry.handleResponse(response, nowNanos)) {
                source.instancesListed(nowNanos);
            }
        } else if (source.awaits(request)) {
            boolean isList = source.isList(request);
            if (source.handlePeerResponse(response, nowNanos)) {
                DiscoveryResponse.PeerChanges peer = (DiscoveryResponse.PeerChanges) response;
                applyPeer(peer, isList, nowNanos, outbox);
                proveFromPeer(peer, sentNanos);
            }
        } else if (source.endsStoreProbe(request)) {
            source.handleStoreProbe(response, nowNanos);
        } else {
            boolean applied =
                    ProofKeeper.isQuestion(request)
                            ? handleQuestion(request, response, nowNanos, outbox)
                            : handleStoreResponse(request, response, nowNanos, outbox);
            if (applied && ProofKeeper.isWhole(request, response, era)) {
                prove(sentNanos);
            }
        }
        source.endStart(nowNanos);
    }

    private void prove(long provenNanos) {
        proofs.prove(
                provenNanos,
                caches.get(DiscoveryKind.CONFIG).objects().values(),
                configSetBuilder.config());
    }

    /** Dates the proof of another instance from the sending of the poll, so never too late. */
    private void proveFromPeer(DiscoveryResponse.PeerChanges peer, long sentNanos) {
        boolean proven = peer.proofAgeMillis() != DiscoveryResponse.PeerChanges.NO_PROOF;
        if (proven
                && sentNanos != ProofKeeper.PROVES_NOTHING
                && peer.changes().get(DiscoveryKind.CONFIG).era() == era) {
            prove(sentNanos - peer.proofAgeMillis() * NANOS_PER_MILLI);
        }
    }

    /** Handles the answer to a question of the {@link ProofKeeper}; returns whether it counts. */
    private boolean handleQuestion(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos, Outbox outbox) {
        if (source.followsPeer()) {
            return false;
        }
        WatchCache cache = caches.get(DiscoveryKind.CONFIG);
        if (cache.handleQuestion(request, response, nowNanos)) {
            publishConfigSet(nowNanos, outbox);
        }
        return true;
    }

    /** Handles a response of the store; returns whether it was awaited. */
    private boolean handleStoreResponse(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos, Outbox outbox) {
        WatchCache cache = caches.get(request.kind());
        if (cache == null || !cache.awaits(request)) {
            return false;
        }
        if (!(response instanceof DiscoveryResponse.Failed)) {
            source.knownAsOf(nowNanos);
        }
        boolean wasFailing = outage.isFailing();
        boolean wasOutage = outage.isFailingForLong(nowNanos) || source.isFollowed();
        boolean changed = cache.handleResponse(request, response, nowNanos);
        if (wasFailing && !outage.isFailing()) {
            // Watches that were pending during the failure may never receive a response.
            caches.all().forEach(each -> each.storeIsBack(wasOutage, nowNanos));
        }
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
        return true;
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
            proofs.storeRestored();
            caches.all().forEach(cache -> cache.relistForEra(newEra, nowNanos));
            registry.storeRestored(newEra, nowNanos);
            outbox.add(new Action.StoreRestored(era, newEra));
        }
        era = newEra;
    }

    private void applyPeer(
            DiscoveryResponse.PeerChanges peer, boolean isList, long nowNanos, Outbox outbox) {
        observeEra(peer.era(), nowNanos, outbox);
        long asOfNanos = nowNanos - peer.ageMillis() * NANOS_PER_MILLI;
        source.knownAsOf(asOfNanos);
        boolean changed = false;
        for (Map.Entry<DiscoveryKind, DiscoveryResponse.Changes> news : peer.changes().entrySet()) {
            WatchCache cache = caches.get(news.getKey());
            changed |=
                    isList
                            ? cache.applyPeerList(news.getValue(), nowNanos)
                            : cache.applyPeerChanges(news.getValue(), asOfNanos, nowNanos);
        }
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
    }

    private void handleTimer(long nowNanos, Outbox outbox) {
        timerDueNanos = NEVER;
        boolean changed = caches.applyDue(nowNanos);
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
        source.endStart(nowNanos);
    }

    private void sendDueRequests(long nowNanos, Outbox outbox) {
        for (WatchCache cache : caches.all()) {
            cache.dueRequests(nowNanos).forEach(request -> send(request, nowNanos, outbox));
        }
        send(registry.dueRequest(nowNanos), nowNanos, outbox);
        registry.announce(nowNanos, outbox);
        if (mayAskForProof()) {
            StoreRevision known = caches.get(DiscoveryKind.CONFIG).revision();
            send(proofs.dueRequest(known, nowNanos), nowNanos, outbox);
        }
        source.dueRequests(nowNanos).forEach(request -> send(request, nowNanos, outbox));
    }

    /** The list that a start, or a failed watch, is followed by is a proof itself. */
    private boolean mayAskForProof() {
        return source.followsStore() && caches.get(DiscoveryKind.CONFIG).isWatching();
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
                                    caches.rollouts(),
                                    nowNanos),
                            origin(nowNanos)));
        }
    }

    private ConfigOrigin origin(long nowNanos) {
        return new ConfigOrigin(
                configSetBuilder.config().version(),
                source.address(),
                caches.revisions(),
                source.ageMillis(nowNanos));
    }

    private void send(DiscoveryRequest request, long nowNanos, Outbox outbox) {
        if (request != null) {
            proofs.sent(request, nowNanos);
            outbox.add(new Action.SendDiscoveryRequest(request));
        }
    }

    private void setTimer(long nowNanos, Outbox outbox) {
        long due = Math.min(registry.dueNanos(), caches.dueNanos());
        due = Math.min(due, source.dueNanos(nowNanos));
        due = Math.min(due, mayAskForProof() ? proofs.dueNanos() : NEVER);
        if (due < timerDueNanos) {
            timerDueNanos = due;
            outbox.add(new Action.SetTimer(TIMER, Math.max(0, due - nowNanos), true));
        }
    }
}
