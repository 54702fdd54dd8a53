package org.snipeslip.core.spread;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.membership.Membership;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.peer.SpreadMessage;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/** Membership and configuration spread. Every method takes the control lock, the first one. */
public final class ControlEngine {
    private static final TimerId LIST = new TimerId(EngineName.CONTROL, "instance-list");
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceSettings settings;
    private final RandomGenerator random;
    private final StoreCallNumbers numbers = new StoreCallNumbers();
    private final ConfigFollower follower;
    private final Membership membership;
    private long listCall;

    /**
     * Creates an engine with no configuration and no peers.
     *
     * @param settings settings of the instance
     * @param codec reads stored objects
     * @param seed seed of the random choices
     */
    public ControlEngine(InstanceSettings settings, ConfigCodec codec, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.follower = new ConfigFollower(settings, codec, numbers, random);
        this.membership = new Membership(settings, () -> follower.inForce().generation(), random);
    }

    /**
     * Takes an event of membership or configuration.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started started -> {
                membership.start(nowNanos, outbox);
                readList(outbox);
            }
            case Event.PeerReceived received ->
                    received(received.from(), received.message(), nowNanos, outbox);
            case Event.StoreAnswered answered -> answered(answered, nowNanos, outbox);
            case Event.TimerFired fired when fired.timer().equals(LIST) -> readList(outbox);
            case Event.TimerFired fired -> {
                membership.timerFired(fired.timer(), nowNanos, outbox);
                follower.timerFired(fired.timer(), nowNanos, outbox);
            }
            case Event.StopRequested stop -> membership.leave(outbox);
            default -> {
                // Events of the other engines.
            }
        }
        publish(nowNanos, outbox);
    }

    /**
     * Returns the members, for operators.
     *
     * @return the view last published
     */
    public synchronized MemberView members() {
        return membership.view();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} before the first
     */
    public synchronized ConfigSet inForce() {
        return follower.inForce();
    }

    /**
     * Tells whether this instance watches the configuration head.
     *
     * @return true for a watcher of its region
     */
    public synchronized boolean isWatcher() {
        return follower.isWatcher();
    }

    private void received(InstanceId from, PeerMessage message, long nowNanos, Outbox outbox) {
        switch (message) {
            case MembershipMessage m -> {
                membership.received(from, m, nowNanos, outbox);
                publish(nowNanos, outbox);
                follower.heard(from, m.gossip().generation(), nowNanos, outbox);
            }
            case SpreadMessage m -> follower.received(from, m, nowNanos, outbox);
            case ClaimMessage m -> {
                // Messages of the at-most-once engine.
            }
        }
    }

    private void answered(Event.StoreAnswered answered, long nowNanos, Outbox outbox) {
        if (answered.call().number() != listCall) {
            follower.answered(answered, nowNanos, outbox);
        } else if (answered.answer() instanceof StoreAnswer.Instances list) {
            membership.listed(list.instances());
        }
    }

    private void readList(Outbox outbox) {
        listCall = numbers.next();
        outbox.add(
                new Action.CallStore(
                        new StoreCallId(EngineName.CONTROL, listCall),
                        new StoreRequest.ReadInstances()));
        long periodNanos = settings.control().membership().listMillis() * NANOS_PER_MILLI;
        long delayNanos = periodNanos * 3 / 4 + random.nextLong(periodNanos / 2);
        outbox.add(new Action.SetTimer(LIST, delayNanos));
    }

    private void publish(long nowNanos, Outbox outbox) {
        if (membership.publish(outbox)) {
            follower.membersChanged(membership.view(), nowNanos, outbox);
        }
    }
}
