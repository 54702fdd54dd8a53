package org.snipeslip.core.spread;

import java.util.SplittableRandom;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;

/** Membership and configuration spread. Every method takes the control lock, the first one. */
public final class ControlEngine {
    private final ConfigFollower follower;

    /**
     * Creates an engine with no configuration.
     *
     * @param settings its settings
     * @param codec reads stored objects
     * @param seed seed of the random choices
     */
    public ControlEngine(ControlSettings settings, ConfigCodec codec, long seed) {
        this.follower = new ConfigFollower(settings, codec, new SplittableRandom(seed));
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
            case Event.Started started -> follower.start(outbox);
            case Event.StoreAnswered answered -> follower.answered(answered, outbox);
            case Event.TimerFired fired -> follower.timerFired(fired.timer(), outbox);
            default -> {
                // Events of the other engines.
            }
        }
    }
}
