package org.snipeslip.core.instance;

import java.util.List;
import java.util.SplittableRandom;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.control.ControlEngine;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.idempotency.ClaimEnd;
import org.snipeslip.core.idempotency.ClaimRequest;
import org.snipeslip.core.idempotency.IdempotencyEngine;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.store.StoreCallLimiter;
import org.snipeslip.core.suspect.SuspectChange;

/**
 * The state machine of one instance with peers: handles events and returns the resulting actions,
 * without I/O. It is thread-safe; used by a single thread it is deterministic for a given seed.
 * Each engine guards its state by its own lock; messages between engines are delivered here, with
 * no lock held.
 */
public final class Instance implements StateMachine {
    private final CallEngine calls;
    private final ControlEngine control;
    private final IdempotencyEngine idempotency;
    private final StopSequence stop;
    private final MembershipStartDelay membershipDelay = new MembershipStartDelay();
    private final StoreCallLimiter storeCallLimiter;
    private volatile ConfigSet inForce = ConfigSet.EMPTY;

    /**
     * Creates an instance without configuration.
     *
     * @param settings settings of the instance
     * @param codec decodes stored configuration objects
     * @param seed seed of all random choices
     */
    public Instance(InstanceSettings settings, ConfigCodec codec, long seed) {
        this.calls =
                new CallEngine(settings.call(), settings.region(), settings.failureDomain(), seed);
        this.control = new ControlEngine(settings, codec, seed + 1);
        this.idempotency =
                new IdempotencyEngine(
                        settings.id(),
                        settings.region(),
                        settings.incarnation(),
                        settings.idempotency(),
                        seed + 3);
        this.stop = new StopSequence(settings.stop());
        this.storeCallLimiter =
                new StoreCallLimiter(settings.control().store(), new SplittableRandom(seed + 2));
    }

    @Override
    public boolean maySend(TryId tryId) {
        return calls.maySend(tryId);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowNanos the current time of a monotonic clock
     * @return the actions to execute, in order
     */
    @Override
    public List<Action> handle(Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        if (event instanceof Event.StoreAnswered answered) {
            storeCallLimiter.answered(answered, nowNanos);
        }
        dispatch(event, nowNanos, outbox);
        deliverAll(nowNanos, outbox);
        if (stop.isStopping()) {
            continueStop(nowNanos, outbox);
        }
        return mayCallStore(event, outbox)
                ? storeCallLimiter.admitCalls(outbox.actions(), nowNanos)
                : outbox.actions();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or {@link ConfigSet#EMPTY} before the first one
     */
    public ConfigSet configInForce() {
        return inForce;
    }

    /**
     * Returns the engine for membership and the distribution of configurations.
     *
     * @return the engine, to be read for status reports to operators
     */
    public ControlEngine control() {
        return control;
    }

    /**
     * Returns the limiter of object API calls.
     *
     * @return the limiter, to be read for metrics
     */
    public StoreCallLimiter storeCallLimiter() {
        return storeCallLimiter;
    }

    /**
     * Returns whether the platform may send calls to this instance.
     *
     * @return true once a configuration is in force and the initial delay of {@link
     *     MembershipStartDelay} has ended, until a stop is requested
     */
    public boolean isReady() {
        return inForce.generation().number() > 0
                && membershipDelay.hasEnded()
                && !stop.isStopping();
    }

    private void dispatch(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.CallArrived e ->
                    stop.admit(e, outbox, () -> calls.handle(e, nowNanos, outbox));
            case Event.TryAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.TryCompleted e -> calls.handle(e, nowNanos, outbox);
            case Event.TryFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.CallerDisconnected e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.RequestRead e -> calls.handle(e, nowNanos, outbox);
            case Event.ServerChecked e -> calls.handle(e, nowNanos, outbox);
            case Event.LinkTested e -> calls.handle(e, nowNanos, outbox);
            case Event.DetourAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.Started e -> {
                outbox.add(membershipDelay.start());
                control.handle(e, nowNanos, outbox);
                idempotency.handle(e, nowNanos, outbox);
                calls.handle(e, nowNanos, outbox);
            }
            case Event.StoreAnswered e -> dispatchToOwner(e.call().owner(), e, nowNanos, outbox);
            case Event.TimerFired e -> dispatchToOwner(e.timer().owner(), e, nowNanos, outbox);
            case Event.PeerMessageReceived e when e.message() instanceof ClaimMessage ->
                    idempotency.handle(e, nowNanos, outbox);
            case Event.PeerMessageReceived e -> control.handle(e, nowNanos, outbox);
            case Event.ClockJumped e -> {
                // No engine here dates a proof.
            }
            case Event.DiscoveryResponded e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.SuspectMessageReceived e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.SuspectMessageSent e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.SuspicionsPulled e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.SuspicionAnswered e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.RolloutReportEnded e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.QuotaAnswered e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.AnnouncementEnded e -> {
                // Occurs only in DiscoveryInstance.
            }
            case Event.StopRequested e -> {
                stop.request(outbox);
                control.handle(e, nowNanos, outbox);
                idempotency.startHandover(nowNanos, outbox);
            }
        }
    }

    private void dispatchToOwner(EngineName owner, Event event, long nowNanos, Outbox outbox) {
        switch (owner) {
            case CALL -> calls.handle(event, nowNanos, outbox);
            case CONTROL -> control.handle(event, nowNanos, outbox);
            case IDEMPOTENCY -> idempotency.handle(event, nowNanos, outbox);
            case INSTANCE -> {
                if (event instanceof Event.TimerFired fired) {
                    stop.timerFired(fired.timer());
                    if (fired.timer().equals(MembershipStartDelay.TIMER)) {
                        updateMembers(membershipDelay.end(), nowNanos, outbox);
                    }
                    dispatchRefusedStoreCalls(nowNanos, outbox);
                }
            }
            default ->
                    throw new IllegalStateException("no engine handles events of " + owner.name());
        }
    }

    private void deliver(Object message, long nowNanos, Outbox outbox) {
        switch (message) {
            case ClaimRequest claim -> idempotency.claim(claim, nowNanos, outbox);
            case ClaimEnd end -> idempotency.end(end, nowNanos, outbox);
            case ClaimDecision decision -> calls.claimDecided(decision, nowNanos, outbox);
            case MemberView view -> updateMembers(membershipDelay.filter(view), nowNanos, outbox);
            case Action.ConfigAdopted adopted -> adopt(adopted.config(), nowNanos, outbox);
            case Action.SuspicionChanged changed -> {
                // The instance acts on what its own calls have shown; others are not told.
            }
            case SuspectChange foreign -> {
                // The same; a call outside its home regions does not arrive here.
            }
            default ->
                    throw new IllegalStateException(
                            "no engine handles messages of " + message.getClass().getName());
        }
    }

    private void dispatchRefusedStoreCalls(long nowNanos, Outbox outbox) {
        for (Event.StoreAnswered refused : storeCallLimiter.removeRefused(nowNanos)) {
            dispatchToOwner(refused.call().owner(), refused, nowNanos, outbox);
        }
    }

    /**
     * Returns whether the limiter of object API calls must handle the actions of an event. Other
     * events, such as those of calls that do not involve the object API, avoid its lock.
     */
    private static boolean mayCallStore(Event event, Outbox outbox) {
        return outbox.hasStoreCalls()
                || event instanceof Event.StoreAnswered
                || event instanceof Event.TimerFired fired
                        && fired.timer().owner() == EngineName.INSTANCE;
    }

    private void updateMembers(MemberView view, long nowNanos, Outbox outbox) {
        if (view != null) {
            idempotency.membersChanged(view, nowNanos, outbox);
        }
    }

    private void continueStop(long nowNanos, Outbox outbox) {
        if (stop.finishIfDone(idempotency.isHandedOver(), calls::openCalls)) {
            int open = calls.openCalls();
            calls.abort(nowNanos, outbox);
            deliverAll(nowNanos, outbox);
            outbox.add(new Action.FinishStop(open));
        }
    }

    private void deliverAll(long nowNanos, Outbox outbox) {
        Object message;
        while ((message = outbox.pollEngineMessage()) != null) {
            deliver(message, nowNanos, outbox);
        }
    }

    private synchronized void adopt(ConfigSet config, long nowNanos, Outbox outbox) {
        if (config.generation().isNewerThan(inForce.generation())) {
            calls.configure(config, nowNanos, outbox);
            idempotency.configure(config, nowNanos, outbox);
            inForce = config;
        }
    }
}
