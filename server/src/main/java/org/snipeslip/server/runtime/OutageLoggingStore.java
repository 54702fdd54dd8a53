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
    public void send(DiscoveryRequest request, Consumer<DiscoveryResponse> consumer) {
        delegate.send(
                request,
                response -> {
                    // Another instance that does not answer says nothing of the store.
                    if (!(request instanceof DiscoveryRequest.PeerPoll)) {
                        logStateChange(request, response, System.nanoTime());
                    }
                    consumer.accept(response);
                });
    }

    private synchronized void logStateChange(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos) {
        if (response instanceof DiscoveryResponse.Failed(boolean refused, String reason)) {
            if (consecutiveFailures++ == 0) {
                firstFailureNanos = nowNanos;
                LOG.atWarn()
                        .addKeyValue("kind", request.kind())
                        .addKeyValue("refused", refused)
                        .addKeyValue("reason", reason)
                        .log("store lost");
            }
        } else if (consecutiveFailures > 0) {
            LOG.atInfo()
                    .addKeyValue("kind", request.kind())
                    .addKeyValue("failures", consecutiveFailures)
                    .addKeyValue(
                            "lostMillis",
                            TimeUnit.NANOSECONDS.toMillis(nowNanos - firstFailureNanos))
                    .log("store regained");
            consecutiveFailures = 0;
        }
    }
}
