package org.snipeslip.server.http;

import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Event;

/** Takes the events of calls; the actions they cause come back through {@link CallRelay}. */
public interface CallEvents {
    /**
     * Begins a call.
     *
     * @param request names the call
     * @param relay carries its actions
     * @param arrived its first event
     */
    void begin(RequestId request, CallRelay relay, Event.CallArrived arrived);

    /**
     * Tells whether a call of this name is open.
     *
     * @param request names the call
     * @return true from its begin until it is forgotten
     */
    boolean isOpen(RequestId request);

    /**
     * Takes an event that happened now.
     *
     * @param event the event
     */
    void handle(Event event);

    /**
     * Drops the relay of a call that ended.
     *
     * @param request names the call
     */
    void forget(RequestId request);
}
