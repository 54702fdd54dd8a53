package org.snipeslip.server.runtime;

import java.util.function.Consumer;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.server.store.ObjectApiClient;

/**
 * Sends the store requests of a state machine. An instance uses either the object API or a
 * discovery store; requests to the other one are programming errors.
 */
interface StoreClient {
    /** Sends a request to the object API. */
    void call(Action.CallStore action, Consumer<StoreAnswer> consumer);

    /** Sends a request to the discovery store. */
    void call(Action.SendDiscoveryRequest action, Consumer<DiscoveryResponse> consumer);

    /** Returns the client of an instance that uses the object API. */
    static StoreClient of(ObjectApiClient client) {
        return new StoreClient() {
            @Override
            public void call(Action.CallStore action, Consumer<StoreAnswer> consumer) {
                client.call(action.request(), consumer);
            }

            @Override
            public void call(
                    Action.SendDiscoveryRequest action, Consumer<DiscoveryResponse> consumer) {
                throw new IllegalStateException(
                        "no discovery store in this process: "
                                + action.request().getClass().getSimpleName());
            }
        };
    }

    /** Returns the client of an instance that uses a discovery store. */
    static StoreClient of(DiscoveryStore store) {
        return new StoreClient() {
            @Override
            public void call(Action.CallStore action, Consumer<StoreAnswer> consumer) {
                throw new IllegalStateException(
                        "no object API in this process: "
                                + action.request().getClass().getSimpleName());
            }

            @Override
            public void call(
                    Action.SendDiscoveryRequest action, Consumer<DiscoveryResponse> consumer) {
                store.send(action.request(), consumer);
            }
        };
    }
}
