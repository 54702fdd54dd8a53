package org.snipeslip.server.runtime;

import java.util.function.Consumer;
import org.snipeslip.core.discovery.FleetAnswer;
import org.snipeslip.core.discovery.FleetCall;

/** The store that holds the objects of a discovered fleet. */
public interface FleetStore {
    /**
     * Sends a call.
     *
     * @param call the call
     * @param consumer takes exactly one answer; a call without one ends as failed at a time limit
     */
    void call(FleetCall call, Consumer<FleetAnswer> consumer);
}
