package org.snipeslip.cli;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntConsumer;

/** Exponential back-off with full jitter before an object API call is retried. */
final class RetryBackoff implements IntConsumer {
    private static final long BASE_DELAY_MILLIS = 200;

    @Override
    public void accept(int attempts) {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(BASE_DELAY_MILLIS << attempts));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
