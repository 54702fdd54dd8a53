package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.id.TryId;

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

    /**
     * Returns whether a try that was decided earlier may be sent now. May be called on any thread.
     *
     * @param tryId the try, as in {@link Action.SendTry}
     * @return false if its server has left service, so that the try must end with {@link
     *     org.snipeslip.core.call.TryFailure#SERVER_LEFT}
     */
    boolean maySend(TryId tryId);
}
