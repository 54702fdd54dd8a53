package org.snipeslip.server.runtime;

import java.util.function.Consumer;
import org.snipeslip.core.discovery.FleetAnswer;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.server.store.ObjectApiClient;

/** Carries the calls of a state machine to the store that it was built for. */
interface StoreCalls {
    /** Carries a call to the object API. */
    void call(Action.CallStore order, Consumer<StoreAnswer> consumer);

    /** Carries a call to the store of a discovered fleet. */
    void call(Action.CallFleet order, Consumer<FleetAnswer> consumer);

    /** The calls of an instance that uses the object API. */
    static StoreCalls of(ObjectApiClient client) {
        return new StoreCalls() {
            @Override
            public void call(Action.CallStore order, Consumer<StoreAnswer> consumer) {
                client.call(order.request(), consumer);
            }

            @Override
            public void call(Action.CallFleet order, Consumer<FleetAnswer> consumer) {
                throw new IllegalStateException(order.toString());
            }
        };
    }

    /** The calls of an instance whose fleet is discovered. */
    static StoreCalls of(FleetStore store) {
        return new StoreCalls() {
            @Override
            public void call(Action.CallStore order, Consumer<StoreAnswer> consumer) {
                throw new IllegalStateException(order.toString());
            }

            @Override
            public void call(Action.CallFleet order, Consumer<FleetAnswer> consumer) {
                store.call(order.call(), consumer);
            }
        };
    }
}
