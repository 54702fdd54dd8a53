package org.snipeslip.core.spread;

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
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.SpreadMessage;
import org.snipeslip.core.store.StoreAnswer;

/**
 * Follows the configuration: two watchers a region learn a new head from the object API and
 * announce it; the others fetch it from the peer that told them. What a peer does not send in time
 * is asked from another peer or the object API. Guarded by the lock of its engine.
 */
public final class ConfigFollower {
    /** Bound on the parts of one message. */
    static final int MESSAGE_BYTES = 512 * 1024;

    /** Bound on the digests asked for at once. */
    static final int DIGESTS_PER_FETCH = 1_024;

    /** Digest, tags and lengths of a part in a message. */
    static final int PART_OVERHEAD_BYTES = 48;

    private static final TimerId FETCH = new TimerId(EngineName.CONTROL, "config-fetch");
    private static final TimerId ANNOUNCE = new TimerId(EngineName.CONTROL, "config-announce");

    /** Announcements of a generation to one member; the gossip of a second repairs the rest. */
    private static final int ANNOUNCES = 3;

    private static final long ANNOUNCE_PAUSE_NANOS = 600_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int PEERS_ASKED_AT_START = 3;

    /** Sources tried before a head that nobody can complete is dropped. */
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
    private InstanceId source;
    private Generation headAsked = Generation.NONE;
    private int attempts;
    private int rank;
    private int announcesLeft;

    /**
     * Creates a follower.
     *
     * @param own settings of the instance
     * @param codec reads stored objects
     * @param numbers numbers of object API calls
     * @param random random choices
     */
    ConfigFollower(
            InstanceSettings own,
            ConfigCodec codec,
            StoreCallNumbers numbers,
            RandomGenerator random) {
        this.own = own;
        this.settings = own.control();
        this.codec = codec;
        this.random = random;
        this.assembly = new ConfigAssembly(codec);
        this.headReader = new HeadReader(settings, numbers, random);
        this.partReader = new PartReader(settings.readsInFlight(), numbers);
        this.peers = new PeerGenerations(own.id());
        this.announcer = new Announcer(own.region(), peers, random);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} before the first
     */
    public ConfigSet inForce() {
        return assembly.inForce();
    }

    /**
     * Tells whether this instance watches the head.
     *
     * @return true for a watcher of its region
     */
    public boolean isWatcher() {
        return rank < settings.watchersPerRegion();
    }

    ConfigAssembly assembly() {
        return assembly;
    }

    void membersChanged(MemberView view, long nowNanos, Outbox outbox) {
        peers.membersChanged(view);
        rank = WatcherRank.of(view, own.id());
        headReader.watch(isWatcher(), nowNanos, outbox);
    }

    void heard(InstanceId from, Generation generation, long nowNanos, Outbox outbox) {
        if (peers.note(from, generation)
                && generation.isNewerThan(assembly.target())
                && generation.isNewerThan(headAsked)) {
            askHead(peers.member(from), generation, nowNanos, outbox);
        }
    }

    void received(InstanceId from, SpreadMessage message, long nowNanos, Outbox outbox) {
        switch (message) {
            case SpreadMessage.ConfigAnnounce m -> heard(from, m.generation(), nowNanos, outbox);
            case SpreadMessage.ConfigFetch m -> {
                heard(from, m.have(), nowNanos, outbox);
                serve(from, m, outbox);
            }
            case SpreadMessage.ConfigParts m -> fetched(from, m, nowNanos, outbox);
        }
    }

    void answered(Event.StoreAnswered event, long nowNanos, Outbox outbox) {
        long call = event.call().number();
        String digest = partReader.ended(call);
        if (digest != null) {
            partRead(digest, event.answer(), nowNanos, outbox);
        } else if (headReader.ends(call)) {
            headRead(event.answer(), nowNanos, outbox);
        }
    }

    void timerFired(TimerId timer, long nowNanos, Outbox outbox) {
        if (timer.equals(HeadReader.TIMER)) {
            if (headReader.isLost(nowNanos)) {
                askPeersAtStart(outbox);
            }
            headReader.timerFired(hasNone(), nowNanos, outbox);
        } else if (timer.equals(FETCH)) {
            stalled(nowNanos, outbox);
        } else if (timer.equals(ANNOUNCE)) {
            announce(outbox);
        }
    }

    private void headRead(StoreAnswer answer, long nowNanos, Outbox outbox) {
        boolean failed = answer instanceof StoreAnswer.Failed;
        if (answer instanceof StoreAnswer.Found found) {
            // The version counts as read even if the head cannot be decoded, so that a watch waits
            // for a later one.
            headReader.read(found.object().version());
            Either<ConfigFault, ConfigHead> decoded = codec.decodeHead(found.object().value());
            decoded.forEach(head -> headFound(head, nowNanos, outbox));
        } else if (answer instanceof StoreAnswer.Absent) {
            headReader.reread();
        }
        if (failed) {
            askPeersAtStart(outbox);
        }
        headReader.next(failed, hasNone(), nowNanos, outbox);
    }

    private void headFound(ConfigHead head, long nowNanos, Outbox outbox) {
        if (!assembly.want(head)) {
            return;
        }
        attempts = 0;
        List<MemberUpdate> having = peers.having(head.generation());
        boolean isMuch = assembly.missing().size() > settings.readsInFlight();
        source = isMuch && !having.isEmpty() ? pick(having).id() : null;
        collect(nowNanos, outbox);
    }

    private boolean hasNone() {
        return inForce().generation().equals(Generation.NONE);
    }

    /** A new instance that gets no head from the object API asks a few peers. */
    private void askPeersAtStart(Outbox outbox) {
        if (!hasNone() || assembly.wanted() != null) {
            return;
        }
        List<MemberUpdate> all = peers.having(Generation.NONE);
        for (int i = 0; i < PEERS_ASKED_AT_START && !all.isEmpty(); i++) {
            MemberUpdate peer = all.remove(random.nextInt(all.size()));
            fetch(peer, List.of(), outbox);
        }
    }

    private void askHead(MemberUpdate peer, Generation generation, long nowNanos, Outbox outbox) {
        headAsked = generation;
        attempts = 0;
        fetch(peer, List.of(), outbox);
        setFetchTimer(outbox);
    }

    private void fetched(
            InstanceId from, SpreadMessage.ConfigParts message, long nowNanos, Outbox outbox) {
        boolean progress = false;
        if (message.head().isDefined() && assembly.want(message.head().get())) {
            peers.note(from, message.head().get().generation());
            attempts = 0;
            source = from;
            progress = true;
        }
        for (ConfigPart part : message.parts()) {
            progress |= assembly.put(part);
        }
        if (progress) {
            collect(nowNanos, outbox);
        }
    }

    private void partRead(String digest, StoreAnswer answer, long nowNanos, Outbox outbox) {
        if (answer instanceof StoreAnswer.Found found
                && assembly.put(new ConfigPart(digest, found.object().value()))) {
            collect(nowNanos, outbox);
        }
    }

    /** Adopts the wanted generation if it is whole, or asks for what is missing. */
    private void collect(long nowNanos, Outbox outbox) {
        if (assembly.adopt()) {
            adopted(outbox);
        } else if (assembly.wanted() != null) {
            MemberUpdate peer = source == null ? null : peers.member(source);
            if (peer == null) {
                partReader.read(assembly.missing(), outbox);
            } else {
                List<String> digests =
                        assembly.missing().stream().limit(DIGESTS_PER_FETCH).toList();
                fetch(peer, digests, outbox);
            }
            setFetchTimer(outbox);
        }
    }

    private void adopted(Outbox outbox) {
        Generation generation = inForce().generation();
        outbox.add(new Action.ConfigAdopted(inForce()));
        partReader.giveUp();
        MemberUpdate from = source == null ? null : peers.member(source);
        boolean fromOtherRegion = from != null && !from.region().equals(own.region());
        announcesLeft = 0;
        if (isWatcher() || fromOtherRegion) {
            announcesLeft = ANNOUNCES;
            announce(outbox);
        }
        if (rank == 0) {
            announcer.toOtherRegions(generation, outbox);
        }
    }

    /** Announces, and once more after a pause to those that are not known to have it by then. */
    private void announce(Outbox outbox) {
        if (announcesLeft > 0) {
            announcesLeft--;
            announcer.toOwnRegion(inForce().generation(), outbox);
            outbox.add(new Action.SetTimer(ANNOUNCE, ANNOUNCE_PAUSE_NANOS));
        }
    }

    /** Turns to another source when the present one sent nothing in time. */
    private void stalled(long nowNanos, Outbox outbox) {
        Generation target = assembly.target();
        if (assembly.wanted() == null) {
            boolean hasHeadAsked = !headAsked.isNewerThan(inForce().generation());
            headAsked = Generation.NONE;
            List<MemberUpdate> having = peers.having(target.next());
            if (!hasHeadAsked && !having.isEmpty() && attempts < MAX_ATTEMPTS) {
                int tried = attempts + 1;
                MemberUpdate peer = pick(having);
                askHead(peer, peers.of(peer.id()), nowNanos, outbox);
                attempts = tried;
            }
        } else if (++attempts > MAX_ATTEMPTS) {
            assembly.drop();
            partReader.giveUp();
            headReader.reread();
            headAsked = Generation.NONE;
        } else {
            partReader.giveUp();
            List<MemberUpdate> having = peers.having(target);
            source = having.isEmpty() || attempts % 2 == 0 ? null : pick(having).id();
            collect(nowNanos, outbox);
        }
    }

    private void serve(InstanceId from, SpreadMessage.ConfigFetch request, Outbox outbox) {
        MemberUpdate peer = peers.member(from);
        ConfigHead head = assembly.inForceHead();
        if (peer == null || head == null) {
            return;
        }
        if (request.digests().isEmpty()) {
            if (head.generation().isNewerThan(request.have())) {
                send(peer, new SpreadMessage.ConfigParts(Option.some(head), List.of()), outbox);
            }
            return;
        }
        List<ConfigPart> parts =
                assembly.partsFor(request.digests(), MESSAGE_BYTES, PART_OVERHEAD_BYTES);
        if (!parts.isEmpty()) {
            send(peer, new SpreadMessage.ConfigParts(Option.none(), parts), outbox);
        }
    }

    private void fetch(MemberUpdate peer, List<String> digests, Outbox outbox) {
        send(peer, new SpreadMessage.ConfigFetch(inForce().generation(), digests), outbox);
    }

    private static void send(MemberUpdate peer, SpreadMessage message, Outbox outbox) {
        outbox.add(new Action.SendPeer(peer.id(), peer.address(), message));
    }

    private void setFetchTimer(Outbox outbox) {
        outbox.add(new Action.SetTimer(FETCH, settings.fetchMillis() * NANOS_PER_MILLI));
    }

    private MemberUpdate pick(List<MemberUpdate> members) {
        return members.get(random.nextInt(members.size()));
    }
}
