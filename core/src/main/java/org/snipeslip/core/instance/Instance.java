package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.spread.ControlEngine;

/**
 * The state machine of one instance: takes events with their time and returns typed actions. It
 * does no I/O. Several threads may call it; driven by one thread it is deterministic for a seed.
 */
public final class Instance {
    private final CallEngine calls;
    private final ControlEngine control;
    private volatile ConfigSet inForce = ConfigSet.EMPTY;

    /**
     * Creates an instance with no configuration.
     *
     * @param settings its settings
     * @param codec reads stored configuration objects
     * @param seed seed of all random choices
     */
    public Instance(InstanceSettings settings, ConfigCodec codec, long seed) {
        this.calls = new CallEngine(settings.call(), settings.region(), seed);
        this.control = new ControlEngine(settings.control(), codec, seed + 1);
    }

    /**
     * Takes an event.
     *
     * @param event the event
     * @param nowNanos the time, from a clock that never goes back
     * @return the actions to carry out, in order
     */
    public List<Action> handle(Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        switch (event) {
            case Event.CallArrived e -> calls.handle(e, nowNanos, outbox);
            case Event.TryAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.TryCompleted e -> calls.handle(e, nowNanos, outbox);
            case Event.TryFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.CallerGone e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeAnswered e -> calls.handle(e, nowNanos, outbox);
            case Event.ProbeFailed e -> calls.handle(e, nowNanos, outbox);
            case Event.Started e -> control.handle(e, nowNanos, outbox);
            case Event.StoreAnswered e -> control.handle(e, nowNanos, outbox);
            case Event.PeerReceived e -> control.handle(e, nowNanos, outbox);
            case Event.TimerFired e -> control.handle(e, nowNanos, outbox);
            case Event.StopRequested e -> outbox.add(new Action.FinishStop(calls.openCalls()));
        }
        for (Action action : outbox.actions()) {
            if (action instanceof Action.ConfigAdopted adopted) {
                adopt(adopted.config());
            }
        }
        return outbox.actions();
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
     * Tells whether the platform may send calls here.
     *
     * @return true once a configuration is in force and no stop was requested
     */
    public boolean isReady() {
        return inForce.generation().number() > 0;
    }

    private synchronized void adopt(ConfigSet config) {
        if (config.generation().isNewerThan(inForce.generation())) {
            calls.configure(config);
            inForce = config;
        }
    }
}
