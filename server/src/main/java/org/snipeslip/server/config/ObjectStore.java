package org.snipeslip.server.config;

import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;

/** Synchronous client of the object API. */
@FunctionalInterface
public interface ObjectStore {
    /**
     * Sends one request and blocks until it is answered or has failed.
     *
     * @param request the request
     * @return the answer; failures are returned as {@link StoreAnswer.Failed}, not thrown
     */
    StoreAnswer call(StoreRequest request);
}
