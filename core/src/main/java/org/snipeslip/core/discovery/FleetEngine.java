package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.snipeslip.core.call.FleetShare;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;

/**
 * Follows the store and puts each change of configuration, servers and evacuations in force. Every
 * method but {@link #config} takes the engine's own lock, the first one.
 */
public final class FleetEngine {
    private static final TimerId TIMER = new TimerId(EngineName.CONTROL, "fleet");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final FleetSettings settings;
    private final StoreOutage outage;
    private final ObjectFollower configs;
    private final ObjectFollower servers;
    private final ObjectFollower evacuations;
    private final List<ObjectFollower> followers;
    private final FleetView view;
    private final TreeSet<String> instances = new TreeSet<>();
    private final List<String> instancePage = new ArrayList<>();
    private boolean registered;
    private FleetCall instancesCall;
    private long instancesDueNanos = NEVER;
    private long timerNanos = NEVER;
    private FleetShare share;

    /**
     * Creates an engine that knows nothing.
     *
     * @param settings its settings
     * @param seed seed of the random choices
     */
    public FleetEngine(FleetSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        this.settings = settings;
        this.outage = new StoreOutage(settings.follow());
        this.configs = follower(FleetKind.CONFIG, random);
        this.servers = follower(FleetKind.SERVERS, random);
        this.evacuations = follower(FleetKind.EVACUATIONS, random);
        this.followers = List.of(configs, servers, evacuations);
        this.view = new FleetView(settings);
        this.share = new FleetShare(settings.assumedInstances(), 0);
    }

    private ObjectFollower follower(FleetKind kind, SplittableRandom random) {
        return new ObjectFollower(kind, settings.follow(), outage, random.split());
    }

    /**
     * Tells whether configuration, servers and evacuations were all read.
     *
     * @return true once calls can be served
     */
    public synchronized boolean isComplete() {
        return view.config() != null && followers.stream().allMatch(ObjectFollower::isComplete);
    }

    /**
     * Returns the instances that share the limits.
     *
     * @return their number and the position of this one
     */
    public synchronized FleetShare share() {
        return share;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or null before the first
     */
    public FleetConfig config() {
        return view.config();
    }

    /**
     * Takes an event of discovery.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started started -> {
                followers.forEach(follower -> call(follower.start(), outbox));
                callInstances(new FleetCall.Register(settings.instance().value()), outbox);
            }
            case Event.FleetAnswered answered -> answered(answered, nowNanos, outbox);
            case Event.TimerFired fired when fired.timer().equals(TIMER) ->
                    timerFired(nowNanos, outbox);
            default -> {
                return;
            }
        }
        setTimer(nowNanos, outbox);
    }

    private void answered(Event.FleetAnswered answered, long nowNanos, Outbox outbox) {
        if (answered.call().equals(instancesCall)) {
            instancesAnswered(answered.answer(), nowNanos, outbox);
            return;
        }
        for (ObjectFollower follower : followers) {
            if (follower.awaits(answered.call())) {
                boolean wasFailing = outage.isFailing();
                boolean changed = follower.answered(answered.call(), answered.answer(), nowNanos);
                if (wasFailing && !outage.isFailing()) {
                    // Watches that were made before may never be answered.
                    followers.forEach(each -> each.restart(nowNanos));
                }
                followers.forEach(each -> step(each, nowNanos, outbox));
                if (changed) {
                    publish(nowNanos, outbox);
                }
                return;
            }
        }
    }

    private void timerFired(long nowNanos, Outbox outbox) {
        timerNanos = NEVER;
        boolean changed = false;
        for (ObjectFollower follower : followers) {
            changed |= follower.removeVanished(nowNanos);
            step(follower, nowNanos, outbox);
        }
        if (changed) {
            publish(nowNanos, outbox);
        }
        if (nowNanos >= instancesDueNanos) {
            instancesDueNanos = NEVER;
            callInstances(nextInstancesCall(), outbox);
        }
    }

    private static void step(ObjectFollower follower, long nowNanos, Outbox outbox) {
        follower.dueCalls(nowNanos).forEach(next -> call(next, outbox));
    }

    private void publish(long nowNanos, Outbox outbox) {
        for (FleetObject object : configs.objects().values()) {
            if (object.record() instanceof FleetRecord.Config(FleetConfig config)) {
                view.configure(config);
            }
        }
        if (isComplete()) {
            Map<String, FleetObject> known = servers.objects();
            outbox.add(new Action.ConfigAdopted(view.next(known, evacuations.objects(), nowNanos)));
        }
    }

    private FleetCall nextInstancesCall() {
        return registered
                ? new FleetCall.ListPage(
                        FleetKind.INSTANCES,
                        instancePage.isEmpty() ? "" : instancePage.getLast(),
                        true)
                : new FleetCall.Register(settings.instance().value());
    }

    private void instancesAnswered(FleetAnswer answer, long nowNanos, Outbox outbox) {
        instancesCall = null;
        long periodNanos = settings.follow().instancesMillis() * NANOS_PER_MILLI;
        switch (answer) {
            case FleetAnswer.Registered done -> {
                registered = true;
                instancesDueNanos = nowNanos;
            }
            case FleetAnswer.Page page -> {
                page.objects().forEach(object -> instancePage.add(object.name()));
                if (page.more() && !page.objects().isEmpty()) {
                    instancesDueNanos = nowNanos;
                } else {
                    takeInstances();
                    instancesDueNanos = nowNanos + periodNanos;
                }
            }
            default -> instancesDueNanos = nowNanos + periodNanos;
        }
    }

    /** Entries of instances that are gone stay, so the number errs on the safe side. */
    private void takeInstances() {
        instances.clear();
        instances.addAll(instancePage);
        instances.add(settings.instance().value());
        instancePage.clear();
        share =
                new FleetShare(
                        instances.size(), instances.headSet(settings.instance().value()).size());
    }

    private void callInstances(FleetCall next, Outbox outbox) {
        instancesCall = next;
        call(next, outbox);
    }

    private static void call(FleetCall call, Outbox outbox) {
        outbox.add(new Action.CallFleet(call));
    }

    private void setTimer(long nowNanos, Outbox outbox) {
        long due = instancesDueNanos;
        for (ObjectFollower follower : followers) {
            due = Math.min(due, follower.dueNanos());
        }
        if (due < timerNanos) {
            timerNanos = due;
            outbox.add(new Action.SetTimer(TIMER, Math.max(0, due - nowNanos)));
        }
    }
}
