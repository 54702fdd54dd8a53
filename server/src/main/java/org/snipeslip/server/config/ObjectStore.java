package org.snipeslip.server.config;

import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;

/** Carries one object API call at a time and waits for its end. */
@FunctionalInterface
public interface ObjectStore {
    /**
     * Makes a call.
     *
     * @param request the call
     * @return its end; a failure is an answer as well
     */
    StoreAnswer call(StoreRequest request);
}
