package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.call.VirtualTime;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;

/**
 * One instance in virtual time: a {@link DiscoveryEngine}, its links to the store and to the other
 * instances, and the faults of both.
 */
final class SimulatedFollower {
    private static final long NANOS_PER_MILLI = 1_000_000;
    static final RegionId REGION = new RegionId("ra");
    static final FailureDomainId DOMAIN = new FailureDomainId("za");

    private static final double LINK_MILLIS = 1;
    private static final double STORE_LINK_MILLIS = 12;

    private final String name;
    private final VirtualTime time;
    private final SimulatedStore store;
    private final Map<String, SimulatedFollower> byAddress;
    private final boolean followsPeers;
    private final List<Poll> polls = new ArrayList<>();
    private final List<Runnable> heldWhileFrozen = new ArrayList<>();
    private final AdoptedConfigs adopted;
    private final SimulatedAnnouncements announcements = new SimulatedAnnouncements(this);
    private DiscoveryEngine engine;
    private int incarnation;
    private boolean alive;
    private boolean frozen;
    private boolean storeCut;
    private boolean peersCut;
    private boolean turnedAway;
    private boolean powered = true;
    private long maxProofAgeMillis;

    /** What the steady clock of the machine has not counted. */
    private long clockLagNanos;

    private long disturbedUntilNanos;

    SimulatedFollower(
            String name,
            VirtualTime time,
            SimulatedStore store,
            Map<String, SimulatedFollower> byAddress,
            boolean followsPeers,
            Set<String> living,
            List<String> violations) {
        this.name = name;
        this.time = time;
        this.store = store;
        this.byAddress = byAddress;
        this.followsPeers = followsPeers;
        this.adopted = new AdoptedConfigs(name, time, store, living, violations);
        byAddress.put(address(), this);
    }

    String name() {
        return name;
    }

    Set<String> servers() {
        return adopted.servers();
    }

    long version() {
        return adopted.version();
    }

    /** Lets the instance keep a proof of its configuration; before its start. */
    void setMaxProofAge(long millis) {
        maxProofAgeMillis = millis;
    }

    /** Returns the proof of the instance, or none if it is not running. */
    ConfigProof proof() {
        return alive && !frozen ? engine.proof() : ConfigProof.NONE;
    }

    /** Returns the version that the proof is about, which may not be in force before the start. */
    long readVersion() {
        return engine.config().version();
    }

    /** Returns the time that the clock of the instance shows. */
    long clockNanos() {
        return time.nowNanos() - clockLagNanos;
    }

    /** Returns the part in limits that all instances share, or null if the process is gone. */
    InstanceShare share() {
        return alive ? engine.share() : null;
    }

    SimulatedAnnouncements announcements() {
        return announcements;
    }

    /** Returns whether neither this instance nor the other one is cut off from its peers. */
    boolean reaches(SimulatedFollower peer) {
        return !peersCut && !peer.peersCut;
    }

    /** Returns the engine of the running process, or null if it is gone. */
    DiscoveryEngine process() {
        return alive ? engine : null;
    }

    boolean followsPeer() {
        return alive && engine.followsPeer();
    }

    /** Returns whether nothing has disturbed the instance or its link to the store for a time. */
    boolean isInTouch(long sinceNanos) {
        return alive && !frozen && !storeCut && disturbedUntilNanos <= sinceNanos;
    }

    /** Starts the process, which handles its first event when the JVM has loaded it. */
    void start(double loadMillis) {
        powered = true;
        long startedNanos = time.nowNanos();
        disturbedUntilNanos = startedNanos;
        int started = ++incarnation;
        after(
                loadMillis,
                () -> {
                    if (incarnation == started) {
                        start();
                        disturbedUntilNanos = startedNanos;
                    }
                });
    }

    void start() {
        alive = true;
        frozen = false;
        heldWhileFrozen.clear();
        incarnation++;
        announcements.processStarted();
        adopted.processStarted();
        disturbedUntilNanos = time.nowNanos();
        engine =
                new DiscoveryEngine(
                        FollowerSettings.of(
                                name, followsPeers ? address() : null, maxProofAgeMillis),
                        name.hashCode());
        handle(new Event.Started());
    }

    /** Ends the process without a sign to those that wait for it. */
    void powerOff() {
        powered = false;
        alive = false;
        heldWhileFrozen.clear();
        frozen = false;
        polls.clear();
    }

    /** Ends the process; callers of its ports are told at once. */
    void kill() {
        List<Poll> open = List.copyOf(polls);
        powerOff();
        powered = true;
        open.forEach(poll -> poll.answer(new DiscoveryResponse.Failed(true, "reset")));
    }

    /** Freezes the machine, whose steady clock does not count that time. */
    void suspend(double millis) {
        long suspendedNanos = time.nowNanos();
        heldWhileFrozen.add(
                0,
                () -> {
                    clockLagNanos += time.nowNanos() - suspendedNanos;
                    handle(new Event.ClockJumped());
                });
        freeze(millis);
    }

    boolean isFrozen() {
        return frozen;
    }

    void freeze(double millis) {
        frozen = true;
        int frozenIncarnation = incarnation;
        after(
                millis,
                () -> {
                    if (alive && frozen && incarnation == frozenIncarnation) {
                        frozen = false;
                        disturbedUntilNanos = time.nowNanos();
                        List<Runnable> held = List.copyOf(heldWhileFrozen);
                        heldWhileFrozen.clear();
                        held.forEach(Runnable::run);
                    }
                });
    }

    void cutFromStore(double millis) {
        storeCut = true;
        after(
                millis,
                () -> {
                    storeCut = false;
                    disturbedUntilNanos = time.nowNanos();
                });
    }

    /** Lets the store refuse all calls of this instance, which still reaches the others. */
    void turnAway(double millis) {
        turnedAway = true;
        after(millis, () -> turnedAway = false);
    }

    void cutFromPeers(double millis) {
        peersCut = true;
        after(millis, () -> peersCut = false);
    }

    private String address() {
        return name + ":1";
    }

    void handle(Event event) {
        int handled = incarnation;
        runUnlessFrozen(
                () -> {
                    if (!alive || incarnation != handled) {
                        return;
                    }
                    Outbox outbox = new Outbox();
                    engine.handle(event, clockNanos(), outbox);
                    outbox.actions().forEach(this::execute);
                });
    }

    void runUnlessFrozen(Runnable action) {
        if (frozen) {
            heldWhileFrozen.add(action);
        } else {
            action.run();
        }
    }

    private void execute(Action action) {
        switch (action) {
            case Action.SendDiscoveryRequest send -> send(send.request());
            case Action.SetTimer timer ->
                    after(
                            timer.delayNanos() / 1e6,
                            () -> handle(new Event.TimerFired(timer.timer())));
            case Action.ConfigAdopted config -> {
                adopted.adopt(config, engine.config().version(), dropsForLackOfNews());
                List.copyOf(polls).forEach(poll -> poll.tryAnswer(false));
            }
            case Action.StoreRestored restored -> {
                // Only logged.
            }
            case Action.AnnounceInstance announcement ->
                    announcements.send(announcement, byAddress.get(announcement.address()));
            default -> throw new IllegalStateException("unexpected action " + action);
        }
    }

    /**
     * Returns whether a server may have been dropped only because a restored store lacked it, by an
     * instance that was not able to hear whether it registered again.
     */
    private boolean dropsForLackOfNews() {
        long silentNanos = 100 * NANOS_PER_MILLI;
        return store.wasRestored() && !isInTouch(time.nowNanos() - silentNanos);
    }

    private void send(DiscoveryRequest request) {
        int sender = incarnation;
        boolean[] done = new boolean[1];
        Consumer<DiscoveryResponse> consumer =
                response -> {
                    if (!done[0] && incarnation == sender) {
                        done[0] = true;
                        handle(new Event.DiscoveryResponded(request, response));
                    }
                };
        after(
                SimulatedStore.timeoutMillis(request),
                () -> consumer.accept(new DiscoveryResponse.Failed(false, "timeout")));
        if (request instanceof DiscoveryRequest.PeerPoll poll) {
            SimulatedFollower peer = byAddress.get(poll.address());
            if (reaches(peer)) {
                after(LINK_MILLIS, () -> peer.receive(poll, deliverUnlessCut(peer, consumer)));
            }
        } else if (turnedAway) {
            after(2 * STORE_LINK_MILLIS, () -> store.refuse(request, consumer));
        } else if (!storeCut) {
            after(
                    STORE_LINK_MILLIS,
                    () ->
                            store.call(
                                    request,
                                    response ->
                                            after(
                                                    STORE_LINK_MILLIS,
                                                    () -> {
                                                        if (!storeCut && !turnedAway) {
                                                            consumer.accept(response);
                                                        }
                                                    })));
        }
    }

    private Consumer<DiscoveryResponse> deliverUnlessCut(
            SimulatedFollower peer, Consumer<DiscoveryResponse> consumer) {
        return response ->
                after(
                        LINK_MILLIS,
                        () -> {
                            if (reaches(peer)) {
                                consumer.accept(response);
                            }
                        });
    }

    private void receive(DiscoveryRequest.PeerPoll request, Consumer<DiscoveryResponse> consumer) {
        if (!alive) {
            if (powered) {
                consumer.accept(new DiscoveryResponse.Failed(true, "refused"));
            }
            return;
        }
        runUnlessFrozen(
                () -> {
                    Poll poll = new Poll(request, consumer);
                    polls.add(poll);
                    poll.tryAnswer(request.waitMillis() == 0);
                    after(request.waitMillis(), () -> runUnlessFrozen(() -> poll.tryAnswer(true)));
                });
    }

    /** A poll of another instance that waits for an answer. */
    private final class Poll {
        final DiscoveryRequest.PeerPoll request;
        final Consumer<DiscoveryResponse> consumer;

        Poll(DiscoveryRequest.PeerPoll request, Consumer<DiscoveryResponse> consumer) {
            this.request = request;
            this.consumer = consumer;
        }

        void tryAnswer(boolean emptyAllowed) {
            if (!alive || !polls.contains(this)) {
                return;
            }
            Outbox outbox = new Outbox();
            DiscoveryResponse response =
                    engine.answerPeer(
                            request.revisions(), request.indirect(), clockNanos(), outbox);
            outbox.actions().forEach(SimulatedFollower.this::execute);
            if (emptyAllowed
                    || !(response instanceof DiscoveryResponse.PeerChanges changes)
                    || !changes.isEmpty()) {
                polls.remove(this);
                answer(response);
            }
        }

        void answer(DiscoveryResponse response) {
            consumer.accept(response);
        }
    }

    void after(double millis, Runnable work) {
        time.schedule((long) (millis * NANOS_PER_MILLI), work);
    }
}
