package org.snipeslip.server.config;

import java.util.function.IntConsumer;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Adds retries of read requests to the object API client. Other requests are sent once, because
 * their caller has to find out whether a write with a lost answer took effect.
 */
final class RetryingStore {
    static final int MAX_TRIES = 5;

    private final ObjectStore store;
    private final IntConsumer pause;

    RetryingStore(ObjectStore store, IntConsumer pause) {
        this.store = store;
        this.pause = pause;
    }

    /** Sends a request without a retry. */
    StoreAnswer callOnce(StoreRequest request) {
        return store.call(request);
    }

    /** Sends a read request until it succeeds, at most {@link #MAX_TRIES} times. */
    StoreAnswer readWithRetries(StoreRequest request) {
        StoreAnswer answer = store.call(request);
        for (int tries = 1; tries < MAX_TRIES && isRetryable(answer); tries++) {
            pause.accept(tries);
            answer = store.call(request);
        }
        return answer;
    }

    void pause(int tries) {
        pause.accept(tries);
    }

    private static boolean isRetryable(StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed failed
                && failed.reason() != StoreFailure.TOO_LARGE;
    }
}
