package org.snipeslip.core.control;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.store.StoreAnswer;

/**
 * Keeps the configuration of this instance up to date. Two watchers per region learn of a new head
 * from the object API and announce it; the other instances fetch it from the peer that announced
 * it. What a peer does not send in time is requested from another peer or from the object API. Not
 * thread-safe: callers hold the lock of the control engine.
 */
public final class ConfigFollower {
    /** Maximum total size of the parts in one message. */
    static final int MAX_PARTS_BYTES = 512 * 1024;

    /** Maximum number of digests in one request. */
    static final int MAX_DIGESTS_PER_FETCH = 1_024;

    /** Size of the digest, tags and length fields of a part in a message. */
    static final int PART_OVERHEAD_BYTES = 48;

    private static final TimerId FETCH = new TimerId(EngineName.CONTROL, "config-fetch");
    private static final TimerId ANNOUNCE = new TimerId(EngineName.CONTROL, "config-announce");

    /**
     * Maximum number of announcements of a generation to one member. Members that receive none of
     * them learn of the generation from the gossip of the pings, which are sent every second.
     */
    private static final int MAX_ANNOUNCEMENTS = 3;

    private static final long ANNOUNCE_INTERVAL_NANOS = 600_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int PEERS_QUERIED_AT_START = 3;

    /** Number of sources tried before a head whose parts cannot be obtained is discarded. */
    private static final int MAX_ATTEMPTS = 12;

    private final ControlSettings settings;
    private final InstanceSettings own;
    private final ConfigCodec codec;
    private final RandomGenerator random;
    private final ConfigAssembly assembly;
    private final HeadReader headReader;
    private final PartReader partReader;
    private final PeerGenerations peers;
    private final Announcer announcer;
    private InstanceId sourcePeer;
    private Generation requestedGeneration = Generation.NONE;
    private int attempts;
    private int rank;
    private int announcementsLeft;

    /**
     * Creates a follower without a configuration.
     *
     * @param own settings of this instance
     * @param codec decodes stored objects
     * @param callNumbers source of the numbers of object API calls
     * @param random source of the random choices
     */
    ConfigFollower(
            InstanceSettings own,
            ConfigCodec codec,
            StoreCallNumbers callNumbers,
            RandomGenerator random) {
        this.own = own;
        this.settings = own.control();
        this.codec = codec;
        this.random = random;
        this.assembly = new ConfigAssembly(codec);
        this.headReader = new HeadReader(settings, callNumbers, random);
        this.partReader = new PartReader(settings.readsInFlight(), callNumbers);
        this.peers = new PeerGenerations(own.id());
        this.announcer = new Announcer(own.region(), peers, random);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} if none was adopted yet
     */
    public ConfigSet inForce() {
        return assembly.inForce();
    }

    /**
     * Returns whether this instance is one of the watchers of its region, which keep a watch call
     * on the configuration head open at the object API.
     *
     * @return true for a watcher
     */
    public boolean isWatcher() {
        return rank < settings.watchersPerRegion();
    }

    ConfigAssembly assembly() {
        return assembly;
    }

    void membersChanged(MemberView view, long nowNanos, Outbox outbox) {
        peers.membersChanged(view);
        rank = WatcherRank.rankOf(view, own.id());
        headReader.setWatching(isWatcher(), nowNanos, outbox);
    }

    void handleGeneration(InstanceId from, Generation generation, long nowNanos, Outbox outbox) {
        if (peers.updateGeneration(from, generation)
                && generation.isNewerThan(assembly.newestGeneration())
                && generation.isNewerThan(requestedGeneration)) {
            requestHead(peers.member(from), generation, nowNanos, outbox);
        }
    }

    void handleMessage(InstanceId from, ConfigMessage message, long nowNanos, Outbox outbox) {
        switch (message) {
            case ConfigMessage.ConfigAnnounce m ->
                    handleGeneration(from, m.generation(), nowNanos, outbox);
            case ConfigMessage.ConfigFetch m -> {
                handleGeneration(from, m.have(), nowNanos, outbox);
                answerFetch(from, m, outbox);
            }
            case ConfigMessage.ConfigParts m -> handleParts(from, m, nowNanos, outbox);
        }
    }

    void handleStoreAnswer(Event.StoreAnswered event, long nowNanos, Outbox outbox) {
        long call = event.call().number();
        String digest = partReader.endCall(call);
        if (digest != null) {
            handlePartAnswer(digest, event.answer(), nowNanos, outbox);
        } else if (headReader.endIfPending(call)) {
            handleHeadAnswer(event.answer(), nowNanos, outbox);
        }
    }

    void timerFired(TimerId timer, long nowNanos, Outbox outbox) {
        if (timer.equals(HeadReader.TIMER)) {
            if (headReader.isOverdue(nowNanos)) {
                queryPeersAtStart(outbox);
            }
            headReader.timerFired(hasNoConfig(), nowNanos, outbox);
        } else if (timer.equals(FETCH)) {
            handleFetchTimeout(nowNanos, outbox);
        } else if (timer.equals(ANNOUNCE)) {
            announce(outbox);
        }
    }

    private void handleHeadAnswer(StoreAnswer answer, long nowNanos, Outbox outbox) {
        boolean failed = answer instanceof StoreAnswer.Failed;
        if (answer instanceof StoreAnswer.Found found) {
            // The version is recorded even if the head cannot be decoded, so that the next watch
            // waits for a later version.
            headReader.setKnownVersion(found.object().version());
            Either<ConfigFault, ConfigHead> decoded = codec.decodeHead(found.object().value());
            decoded.forEach(head -> handleHead(head, nowNanos, outbox));
        } else if (answer instanceof StoreAnswer.Absent) {
            headReader.forgetVersion();
        }
        if (failed) {
            queryPeersAtStart(outbox);
        }
        headReader.scheduleNext(failed, hasNoConfig(), nowNanos, outbox);
    }

    private void handleHead(ConfigHead head, long nowNanos, Outbox outbox) {
        if (!assembly.startCollecting(head)) {
            return;
        }
        attempts = 0;
        List<MemberUpdate> peersWithHead = peers.membersWith(head.generation());
        boolean hasManyMissing = assembly.missing().size() > settings.readsInFlight();
        sourcePeer = hasManyMissing && !peersWithHead.isEmpty() ? pick(peersWithHead).id() : null;
        adoptOrFetchMissing(nowNanos, outbox);
    }

    private boolean hasNoConfig() {
        return inForce().generation().equals(Generation.NONE);
    }

    /**
     * Requests the head from a few random peers if this instance has no configuration and collects
     * none. Called when the object API does not return the head.
     */
    private void queryPeersAtStart(Outbox outbox) {
        if (!hasNoConfig() || assembly.pendingHead() != null) {
            return;
        }
        List<MemberUpdate> candidates = peers.membersWith(Generation.NONE);
        for (int i = 0; i < PEERS_QUERIED_AT_START && !candidates.isEmpty(); i++) {
            MemberUpdate peer = candidates.remove(random.nextInt(candidates.size()));
            sendFetch(peer, List.of(), outbox);
        }
    }

    private void requestHead(
            MemberUpdate peer, Generation generation, long nowNanos, Outbox outbox) {
        requestedGeneration = generation;
        attempts = 0;
        sendFetch(peer, List.of(), outbox);
        setFetchTimer(outbox);
    }

    private void handleParts(
            InstanceId from, ConfigMessage.ConfigParts message, long nowNanos, Outbox outbox) {
        boolean hasProgress = false;
        if (message.head().isDefined() && assembly.startCollecting(message.head().get())) {
            peers.updateGeneration(from, message.head().get().generation());
            attempts = 0;
            sourcePeer = from;
            hasProgress = true;
        }
        for (ConfigPart part : message.parts()) {
            hasProgress |= assembly.addPart(part);
        }
        if (hasProgress) {
            attempts = 0;
            adoptOrFetchMissing(nowNanos, outbox);
        }
    }

    private void handlePartAnswer(String digest, StoreAnswer answer, long nowNanos, Outbox outbox) {
        if (answer instanceof StoreAnswer.Found found
                && assembly.addPart(new ConfigPart(digest, found.object().value()))) {
            attempts = 0;
            adoptOrFetchMissing(nowNanos, outbox);
        }
    }

    /** Adopts the generation being collected if it is complete, else requests missing parts. */
    private void adoptOrFetchMissing(long nowNanos, Outbox outbox) {
        if (assembly.adoptIfComplete()) {
            publishAdopted(outbox);
        } else if (assembly.pendingHead() != null) {
            MemberUpdate peer = sourcePeer == null ? null : peers.member(sourcePeer);
            if (peer == null) {
                partReader.readMissing(assembly.missing(), outbox);
            } else {
                List<String> digests =
                        assembly.missing().stream().limit(MAX_DIGESTS_PER_FETCH).toList();
                sendFetch(peer, digests, outbox);
            }
            setFetchTimer(outbox);
        }
    }

    private void publishAdopted(Outbox outbox) {
        Generation generation = inForce().generation();
        outbox.add(new Action.ConfigAdopted(inForce()));
        partReader.abandonReads();
        MemberUpdate from = sourcePeer == null ? null : peers.member(sourcePeer);
        boolean fromOtherRegion = from != null && !from.region().equals(own.region());
        announcementsLeft = 0;
        if (isWatcher() || fromOtherRegion) {
            announcementsLeft = MAX_ANNOUNCEMENTS;
            announce(outbox);
        }
        if (rank == 0) {
            announcer.announceToOtherRegions(generation, outbox);
        }
    }

    /**
     * Announces the generation in force to the own region. The announcement is repeated after an
     * interval to the members that are not known to have the generation by then.
     */
    private void announce(Outbox outbox) {
        if (announcementsLeft > 0) {
            announcementsLeft--;
            announcer.announceToOwnRegion(inForce().generation(), outbox);
            outbox.add(new Action.SetTimer(ANNOUNCE, ANNOUNCE_INTERVAL_NANOS));
        }
    }

    /** Selects another source when the current one did not answer in time. */
    private void handleFetchTimeout(long nowNanos, Outbox outbox) {
        Generation newest = assembly.newestGeneration();
        if (assembly.pendingHead() == null) {
            boolean isRequestedInForce = !requestedGeneration.isNewerThan(inForce().generation());
            requestedGeneration = Generation.NONE;
            List<MemberUpdate> peersWithHead = peers.membersWith(newest.next());
            if (!isRequestedInForce && !peersWithHead.isEmpty() && attempts < MAX_ATTEMPTS) {
                int attemptsSoFar = attempts + 1;
                MemberUpdate peer = pick(peersWithHead);
                requestHead(peer, peers.generationOf(peer.id()), nowNanos, outbox);
                attempts = attemptsSoFar;
            }
        } else if (++attempts > MAX_ATTEMPTS && !partReader.isBusy()) {
            assembly.stopCollecting();
            headReader.forgetVersion();
            requestedGeneration = Generation.NONE;
        } else {
            // Reads in flight are not restarted: with a slow object API they would never finish.
            List<MemberUpdate> peersWithHead = peers.membersWith(newest);
            sourcePeer =
                    peersWithHead.isEmpty() || attempts % 2 == 0 ? null : pick(peersWithHead).id();
            adoptOrFetchMissing(nowNanos, outbox);
        }
    }

    private void answerFetch(InstanceId from, ConfigMessage.ConfigFetch request, Outbox outbox) {
        MemberUpdate peer = peers.member(from);
        ConfigHead head = assembly.inForceHead();
        if (peer == null || head == null) {
            return;
        }
        if (request.digests().isEmpty()) {
            if (head.generation().isNewerThan(request.have())) {
                send(peer, new ConfigMessage.ConfigParts(Option.some(head), List.of()), outbox);
            }
            return;
        }
        List<ConfigPart> parts =
                assembly.selectParts(request.digests(), MAX_PARTS_BYTES, PART_OVERHEAD_BYTES);
        if (!parts.isEmpty()) {
            send(peer, new ConfigMessage.ConfigParts(Option.none(), parts), outbox);
        }
    }

    private void sendFetch(MemberUpdate peer, List<String> digests, Outbox outbox) {
        send(peer, new ConfigMessage.ConfigFetch(inForce().generation(), digests), outbox);
    }

    private static void send(MemberUpdate peer, ConfigMessage message, Outbox outbox) {
        outbox.add(new Action.SendPeerMessage(peer.id(), peer.address(), message));
    }

    private void setFetchTimer(Outbox outbox) {
        outbox.add(new Action.SetTimer(FETCH, settings.fetchTimeoutMillis() * NANOS_PER_MILLI));
    }

    private MemberUpdate pick(List<MemberUpdate> members) {
        return members.get(random.nextInt(members.size()));
    }
}
