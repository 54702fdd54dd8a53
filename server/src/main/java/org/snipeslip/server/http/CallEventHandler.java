package org.snipeslip.server.http;

import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Event;

/** Receives the events of calls; the resulting actions are run by {@link CallRelay}. */
public interface CallEventHandler {
    /**
     * Registers a new call and handles its first event.
     *
     * @param request identifies the call
     * @param relay executes the actions of the call
     * @param arrived first event of the call
     */
    void begin(RequestId request, CallRelay relay, Event.CallArrived arrived);

    /**
     * Returns whether a call with this id is open.
     *
     * @param request identifies the call
     * @return true from {@link #begin} until {@link #forget}
     */
    boolean isOpen(RequestId request);

    /**
     * Handles an event that happened just now.
     *
     * @param event event of an open call
     */
    void handle(Event event);

    /**
     * Returns whether a try that was decided earlier may be sent now.
     *
     * @param tryId the try
     * @return false if its server has left service
     */
    boolean maySend(TryId tryId);

    /**
     * Removes a call that ended, so that it receives no further actions.
     *
     * @param request identifies the call
     */
    void forget(RequestId request);
}
