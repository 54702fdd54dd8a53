package org.snipeslip.server.scenario;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.server.config.ConfigJson;

/** One instance in virtual time; can be paused, lost and restarted. */
final class Node {
    final String name;
    final String failureDomain;
    final String region;
    final PeerAddress address;
    boolean up = true;
    boolean paused;
    boolean finishedStop;
    int openAtFinish;
    Generation highest = Generation.NONE;
    boolean reverted;

    private final World world;
    private final List<Event> heldWhilePaused = new ArrayList<>();
    private Instance instance;
    private int life;

    Node(World world, int index, int failureDomain) {
        this.world = world;
        this.name = "entry-" + index;
        this.failureDomain = "fd-" + failureDomain;
        this.region = World.region(failureDomain);
        this.address = new PeerAddress("10.0.0." + (index + 1), 7_000);
        start();
    }

    void start() {
        life++;
        up = true;
        finishedStop = false;
        highest = Generation.NONE;
        InstanceSettings settings =
                new InstanceSettings(
                        new InstanceId(name),
                        new FailureDomainId(failureDomain),
                        new RegionId(region),
                        address,
                        world.nowNanos / 1_000_000 + life,
                        CallSettings.DEFAULT,
                        ControlSettings.DEFAULT,
                        IdempotencySettings.DEFAULT,
                        StopSettings.DEFAULT);
        instance = new Instance(settings, new ConfigJson(), world.random.nextLong());
        take(new Event.Started());
    }

    void lose() {
        world.lostNodes.add(name);
        up = false;
        life++;
        heldWhilePaused.clear();
    }

    void resume() {
        paused = false;
        List<Event> held = List.copyOf(heldWhilePaused);
        heldWhilePaused.clear();
        held.forEach(this::take);
    }

    boolean isReady() {
        return up && !paused && instance.isReady();
    }

    Generation generation() {
        return instance.configInForce().generation();
    }

    void take(Event event) {
        if (!up) {
            return;
        }
        if (paused) {
            heldWhilePaused.add(event);
            return;
        }
        List<Action> actions = instance.handle(event, world.nowNanos);
        Generation now = generation();
        reverted |= highest.isNewerThan(now);
        highest = now;
        int sender = life;
        for (Action action : actions) {
            carryOut(action, sender);
        }
    }

    private void carryOut(Action action, int sender) {
        switch (action) {
            case Action.SetTimer a ->
                    world.after(
                            a.delayNanos(), () -> ifSame(sender, new Event.TimerFired(a.timer())));
            case Action.CallStore a ->
                    world.store.call(
                            a.request(),
                            answer -> ifSame(sender, new Event.StoreAnswered(a.call(), answer)));
            case Action.SendPeerMessage a -> world.sendPeer(this, a);
            case Action.FinishStop a -> {
                finishedStop = true;
                openAtFinish = a.openCalls();
                lose();
            }
            case Action.SendProbe a -> world.probe(this, a);
            case Action.RecordDecision a -> {
                // Decisions have tests of their own.
            }
            case Action.ConfigAdopted a -> {
                // The generation is read after each event.
            }
            default -> world.carryOutCall(this, action);
        }
    }

    private void ifSame(int sender, Event event) {
        if (sender == life) {
            take(event);
        }
    }
}
