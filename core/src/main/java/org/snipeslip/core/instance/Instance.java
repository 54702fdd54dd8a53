package org.snipeslip.core.instance;

import java.util.List;
import java.util.SplittableRandom;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.once.ClaimEnd;
import org.snipeslip.core.once.ClaimRequest;
import org.snipeslip.core.once.OnceEngine;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.spread.ControlEngine;
import org.snipeslip.core.store.StoreGate;

/**
 * The state machine of one instance: takes events with their time and returns typed actions. It
 * does no I/O. Several threads may call it; driven by one thread it is deterministic for a seed.
 * Each engine locks its own tables; values pass between engines here, with no lock held.
 */
public final class Instance implements StateMachine {
    private final CallEngine calls;
    private final ControlEngine control;
    private final OnceEngine once;
    private final StopSequence stop;
    private final StartSettling settling = new StartSettling();
    private final StoreGate storeGate;
    private volatile ConfigSet inForce = ConfigSet.EMPTY;

    /**
     * Creates an instance with no configuration.
     *
     * @param settings its settings
     * @param codec reads stored configuration objects
     * @param seed seed of all random choices
     */
    public Instance(InstanceSettings settings, ConfigCodec codec, long seed) {
        this.calls =
                new CallEngine(settings.call(), settings.region(), settings.failureDomain(), seed);
        this.control = new ControlEngine(settings, codec, seed + 1);
        this.once =
                new OnceEngine(
                        settings.id(),
                        settings.region(),
                        settings.incarnation(),
                        settings.once(),
                        seed + 3);
        this.stop = new StopSequence(settings.stop());
        this.storeGate = new StoreGate(settings.control().store(), new SplittableRandom(seed + 2));
    }

    /**
     * Takes an event.
     *
     * @param event the event
     * @param nowNanos the time, from a clock that never goes back
     * @return the actions to carry out, in order
     */
    @Override
    public List<Action> handle(Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        if (event instanceof Event.StoreAnswered answered) {
            storeGate.answered(answered, nowNanos);
        }
        dispatch(event, nowNanos, outbox);
        passOnAll(nowNanos, outbox);
        if (stop.isStopping()) {
            continueStop(nowNanos, outbox);
        }
        return mayCallStore(event, outbox)
                ? storeGate.pass(outbox.actions(), nowNanos)
                : outbox.actions();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} before the first
     */
    public ConfigSet configInForce() {
        return inForce;
    }

    /**
     * Returns membership and configuration spread, for operators.
     *
     * @return the engine
     */
    public ControlEngine control() {
        return control;
    }

    /**
     * Returns the object API budget, for metrics.
     *
     * @return the gate
     */
    public StoreGate storeGate() {
        return storeGate;
    }

    /**
     * Tells whether the platform may send calls here.
     *
     * @return true once a configuration is in force and the members had time to be heard, until a
     *     stop is requested
     */
    public boolean isReady() {
        return inForce.generation().number() > 0 && settling.isSettled() && !stop.isStopping();
    }

    private void dispatch(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.CallArrived e -> calls.handle(e, nowNanos, outbox);
            case Event.TryAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.TryCompleted e -> calls.handle(e, nowNanos, outbox);
            case Event.TryFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.CallerGone e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.Started e -> {
                outbox.add(settling.start());
                control.handle(e, nowNanos, outbox);
                once.handle(e, nowNanos, outbox);
                calls.handle(e, nowNanos, outbox);
            }
            case Event.StoreAnswered e -> toOwner(e.call().owner(), e, nowNanos, outbox);
            case Event.TimerFired e -> toOwner(e.timer().owner(), e, nowNanos, outbox);
            case Event.PeerReceived e when e.message() instanceof ClaimMessage ->
                    once.handle(e, nowNanos, outbox);
            case Event.PeerReceived e -> control.handle(e, nowNanos, outbox);
            case Event.FleetAnswered e -> {
                // Belongs to instances whose servers are discovered.
            }
            case Event.StopRequested e -> {
                stop.request(outbox);
                control.handle(e, nowNanos, outbox);
                once.startHandover(nowNanos, outbox);
            }
        }
    }

    private void toOwner(EngineName owner, Event event, long nowNanos, Outbox outbox) {
        switch (owner) {
            case CALL -> calls.handle(event, nowNanos, outbox);
            case CONTROL -> control.handle(event, nowNanos, outbox);
            case ONCE -> once.handle(event, nowNanos, outbox);
            case INSTANCE -> {
                if (event instanceof Event.TimerFired fired) {
                    stop.timerFired(fired.timer());
                    if (fired.timer().equals(StartSettling.TIMER)) {
                        changeMembers(settling.settle(), nowNanos, outbox);
                    }
                    endRefusedCalls(nowNanos, outbox);
                }
            }
            default -> throw new IllegalStateException(owner.name());
        }
    }

    private void passOn(Object value, long nowNanos, Outbox outbox) {
        switch (value) {
            case ClaimRequest claim -> once.claim(claim, nowNanos, outbox);
            case ClaimEnd end -> once.end(end, nowNanos, outbox);
            case ClaimDecision decision -> calls.claimDecided(decision, nowNanos, outbox);
            case MemberView view -> changeMembers(settling.pass(view), nowNanos, outbox);
            case Action.ConfigAdopted adopted -> adopt(adopted.config(), nowNanos, outbox);
            default -> throw new IllegalStateException(value.getClass().getName());
        }
    }

    private void endRefusedCalls(long nowNanos, Outbox outbox) {
        for (Event.StoreAnswered refused : storeGate.takeRefused(nowNanos)) {
            toOwner(refused.call().owner(), refused, nowNanos, outbox);
        }
    }

    /** Keeps the lock of the gate off the path of calls that do not concern the object API. */
    private static boolean mayCallStore(Event event, Outbox outbox) {
        return outbox.hasStoreCalls()
                || event instanceof Event.StoreAnswered
                || event instanceof Event.TimerFired fired
                        && fired.timer().owner() == EngineName.INSTANCE;
    }

    private void changeMembers(MemberView view, long nowNanos, Outbox outbox) {
        if (view != null) {
            once.membersChanged(view, nowNanos, outbox);
        }
    }

    private void continueStop(long nowNanos, Outbox outbox) {
        int open = calls.openCalls();
        if (stop.finish(open == 0 && once.isHandedOver())) {
            calls.abort(nowNanos, outbox);
            passOnAll(nowNanos, outbox);
            outbox.add(new Action.FinishStop(open));
        }
    }

    private void passOnAll(long nowNanos, Outbox outbox) {
        Object internal;
        while ((internal = outbox.pollInternal()) != null) {
            passOn(internal, nowNanos, outbox);
        }
    }

    private synchronized void adopt(ConfigSet config, long nowNanos, Outbox outbox) {
        if (config.generation().isNewerThan(inForce.generation())) {
            calls.configure(config, nowNanos, outbox);
            once.configure(config, nowNanos, outbox);
            inForce = config;
        }
    }
}
