package org.snipeslip.cli;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntConsumer;

/** Exponential back-off with full jitter between repeated object API calls. */
final class RetryPause implements IntConsumer {
    private static final long FIRST_MILLIS = 200;

    @Override
    public void accept(int tries) {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(FIRST_MILLIS << tries));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
