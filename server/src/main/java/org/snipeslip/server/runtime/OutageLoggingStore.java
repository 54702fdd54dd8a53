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

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

    private final DiscoveryStore delegate;
    private long firstFailureNanos;
    private int consecutiveFailures;
    private long discardedLoggedNanos = Long.MIN_VALUE;
    private int discarded;

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
                        logDiscardedHistory(request, response, System.nanoTime());
                    }
                    consumer.accept(response);
                });
    }

    /** Logs at most one line a second, with the number of such responses since the last line. */
    private synchronized void logDiscardedHistory(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos) {
        if (!(response instanceof DiscoveryResponse.HistoryDiscarded)) {
            return;
        }
        discarded++;
        if (discardedLoggedNanos == Long.MIN_VALUE
                || nowNanos - discardedLoggedNanos >= LOG_INTERVAL_NANOS) {
            LOG.atWarn()
                    .addKeyValue("request", request)
                    .addKeyValue("responses", discarded)
                    .log("store has discarded the history that a watch needs");
            discardedLoggedNanos = nowNanos;
            discarded = 0;
        }
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
