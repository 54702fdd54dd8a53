package org.snipeslip.server.config;

import java.util.function.IntConsumer;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/** Repeats calls that may be repeated; used for reads only. */
final class RetryingStore {
    static final int MAX_TRIES = 5;

    private final ObjectStore store;
    private final IntConsumer pause;

    RetryingStore(ObjectStore store, IntConsumer pause) {
        this.store = store;
        this.pause = pause;
    }

    /** Makes a call once. */
    StoreAnswer once(StoreRequest request) {
        return store.call(request);
    }

    /** Makes a read until it does not fail, at most {@link #MAX_TRIES} times. */
    StoreAnswer read(StoreRequest request) {
        StoreAnswer answer = store.call(request);
        for (int tries = 1; tries < MAX_TRIES && mayRepeat(answer); tries++) {
            pause.accept(tries);
            answer = store.call(request);
        }
        return answer;
    }

    void pause(int tries) {
        pause.accept(tries);
    }

    private static boolean mayRepeat(StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed failed
                && failed.reason() != StoreFailure.TOO_LARGE;
    }
}
