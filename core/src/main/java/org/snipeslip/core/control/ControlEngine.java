package org.snipeslip.core.control;

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
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/**
 * Runs membership and configuration distribution. Every method acquires the control lock, the first
 * in the lock order of the engines.
 */
public final class ControlEngine {
    private static final TimerId INSTANCE_LIST = new TimerId(EngineName.CONTROL, "instance-list");
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceSettings settings;
    private final RandomGenerator random;
    private final StoreCallNumbers callNumbers = new StoreCallNumbers();
    private final ConfigFollower follower;
    private final Membership membership;
    private long listCall;

    /**
     * Creates an engine that knows no configuration and no peers.
     *
     * @param settings settings of this instance
     * @param codec decodes stored objects
     * @param seed seed of the random choices
     */
    public ControlEngine(InstanceSettings settings, ConfigCodec codec, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.follower = new ConfigFollower(settings, codec, callNumbers, random);
        this.membership = new Membership(settings, () -> follower.inForce().generation(), random);
    }

    /**
     * Handles an event of membership or configuration, and publishes the members if they changed.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started started -> {
                membership.start(nowNanos, outbox);
                readInstanceList(outbox);
            }
            case Event.PeerMessageReceived received ->
                    handleMessage(received.from(), received.message(), nowNanos, outbox);
            case Event.StoreAnswered answered -> handleStoreAnswer(answered, nowNanos, outbox);
            case Event.TimerFired fired when fired.timer().equals(INSTANCE_LIST) ->
                    readInstanceList(outbox);
            case Event.TimerFired fired -> {
                membership.timerFired(fired.timer(), nowNanos, outbox);
                follower.timerFired(fired.timer(), nowNanos, outbox);
            }
            case Event.StopRequested stop -> membership.leave(outbox);
            default -> {
                // Other events are handled by the other engines.
            }
        }
        publish(nowNanos, outbox);
    }

    /**
     * Returns the members known to this instance, for the operator's report.
     *
     * @return the view that was published last
     */
    public synchronized MemberView members() {
        return membership.view();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} if none was adopted yet
     */
    public synchronized ConfigSet inForce() {
        return follower.inForce();
    }

    /**
     * Returns whether this instance is one of the watchers of its region, which keep a watch call
     * on the configuration head open at the object API.
     *
     * @return true for a watcher
     */
    public synchronized boolean isWatcher() {
        return follower.isWatcher();
    }

    private void handleMessage(InstanceId from, PeerMessage message, long nowNanos, Outbox outbox) {
        switch (message) {
            case MembershipMessage m -> {
                membership.handleMessage(from, m, nowNanos, outbox);
                publish(nowNanos, outbox);
                follower.handleGeneration(from, m.gossip().generation(), nowNanos, outbox);
            }
            case ConfigMessage m -> follower.handleMessage(from, m, nowNanos, outbox);
            case ClaimMessage m -> {
                // Handled by the at-most-once engine.
            }
        }
    }

    private void handleStoreAnswer(Event.StoreAnswered answered, long nowNanos, Outbox outbox) {
        if (answered.call().number() != listCall) {
            follower.handleStoreAnswer(answered, nowNanos, outbox);
        } else if (answered.answer() instanceof StoreAnswer.Instances list) {
            membership.applyInstanceList(list.instances());
        }
    }

    private void readInstanceList(Outbox outbox) {
        listCall = callNumbers.next();
        outbox.add(
                new Action.CallStore(
                        new StoreCallId(EngineName.CONTROL, listCall),
                        new StoreRequest.ReadInstances()));
        long periodNanos = settings.control().membership().listIntervalMillis() * NANOS_PER_MILLI;
        long delayNanos = periodNanos * 3 / 4 + random.nextLong(periodNanos / 2);
        outbox.add(new Action.SetTimer(INSTANCE_LIST, delayNanos));
    }

    private void publish(long nowNanos, Outbox outbox) {
        if (membership.publish(outbox)) {
            follower.membersChanged(membership.view(), nowNanos, outbox);
        }
    }
}
