package org.snipeslip.server.runtime;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;

/**
 * Logs the start and the end of each outage of the delegate store: one line for the first failed
 * request and one for the next successful request, however many requests fail in between.
 */
final class OutageLoggingStore implements DiscoveryStore {
    private static final Logger LOG = LoggerFactory.getLogger(OutageLoggingStore.class);

    private final DiscoveryStore delegate;
    private long firstFailureNanos;
    private int consecutiveFailures;

    OutageLoggingStore(DiscoveryStore delegate) {
        this.delegate = delegate;
    }

    @Override
    public void send(DiscoveryRequest call, Consumer<DiscoveryResponse> consumer) {
        delegate.send(
                call,
                answer -> {
                    logStateChange(call, answer, System.nanoTime());
                    consumer.accept(answer);
                });
    }

    private synchronized void logStateChange(
            DiscoveryRequest call, DiscoveryResponse answer, long nowNanos) {
        if (answer instanceof DiscoveryResponse.Failed(boolean refused, String reason)) {
            if (consecutiveFailures++ == 0) {
                firstFailureNanos = nowNanos;
                LOG.atWarn()
                        .addKeyValue("kind", call.kind())
                        .addKeyValue("refused", refused)
                        .addKeyValue("reason", reason)
                        .log("store lost");
            }
        } else if (consecutiveFailures > 0) {
            LOG.atInfo()
                    .addKeyValue("kind", call.kind())
                    .addKeyValue("failures", consecutiveFailures)
                    .addKeyValue(
                            "lostMillis",
                            TimeUnit.NANOSECONDS.toMillis(nowNanos - firstFailureNanos))
                    .log("store regained");
            consecutiveFailures = 0;
        }
    }
}
