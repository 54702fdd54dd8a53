package org.snipeslip.core.instance;

import java.util.List;

/** The decisions of an instance: events in, actions out. */
public interface StateMachine {
    /**
     * Takes an event.
     *
     * @param event the event
     * @param nowNanos the time
     * @return the actions to carry out, in order
     */
    List<Action> handle(Event event, long nowNanos);
}
