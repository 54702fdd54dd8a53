package org.snipeslip.core.instance;

import java.util.List;

/** The decision logic of an instance, which maps events to actions without I/O. */
public interface StateMachine {
    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowNanos the current time of a monotonic clock
     * @return the actions to execute, in order
     */
    List<Action> handle(Event event, long nowNanos);
}
