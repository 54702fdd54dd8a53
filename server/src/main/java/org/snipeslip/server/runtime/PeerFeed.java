package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipeslip.core.discovery.DiscoveryKind;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.discovery.StoreRevision;

/**
 * Answers the polls of other instances: {@code GET
 * /changes?config=R&servers=R&evacuations=R&waitMs=N}, with the revision that the other instance
 * knows of each kind, and {@code indirect=1} if it has lost the store. A poll waits until there is
 * a change, or until its wait has ended.
 */
final class PeerFeed implements HttpHandler {
    private static final String PATH = "/changes";
    private static final String WAIT_MILLIS = "waitMs";
    private static final String INDIRECT = "indirect";

    /** Longer than any poll waits in practice; bounds what an unknown caller can hold. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** More than the instances of a region. */
    private static final int MAX_WAITING = 1_024;

    private final Source source;
    private final Function<DiscoveryResponse.PeerChanges, String> encoder;
    private final Set<Poll> waiting = ConcurrentHashMap.newKeySet();

    /**
     * Creates a feed.
     *
     * @param source returns the changes since the given revisions
     * @param encoder encodes them for other instances
     */
    PeerFeed(Source source, Function<DiscoveryResponse.PeerChanges, String> encoder) {
        this.source = source;
        this.encoder = encoder;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Map<DiscoveryKind, StoreRevision> revisions = new EnumMap<>(DiscoveryKind.class);
        long waitMillis;
        try {
            for (DiscoveryKind kind : DiscoveryKind.values()) {
                String revision = value(exchange, kind.name().toLowerCase(Locale.ROOT));
                if (revision != null) {
                    revisions.put(kind, StoreRevision.parse(revision));
                }
            }
            String wait = value(exchange, WAIT_MILLIS);
            waitMillis = wait == null ? 0 : Math.clamp(Long.parseLong(wait), 0, MAX_WAIT_MILLIS);
        } catch (NumberFormatException e) {
            end(exchange, StatusCodes.BAD_REQUEST);
            return;
        }
        if (!exchange.getRequestPath().equals(PATH)) {
            end(exchange, StatusCodes.NOT_FOUND);
            return;
        }
        Poll poll = new Poll(exchange, revisions, value(exchange, INDIRECT) != null);
        if (!poll.answer(waitMillis == 0 || waiting.size() >= MAX_WAITING)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> poll.startWaiting(waitMillis));
        }
    }

    /** Answers the polls that wait for a change. */
    void configAdopted() {
        waiting.forEach(poll -> poll.exchange.getIoThread().execute(poll::changed));
    }

    private static String value(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.getFirst();
    }

    private static void end(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    /** What this instance knows. */
    interface Source {
        /**
         * Returns the changes since the given revisions.
         *
         * @param indirect whether to answer also while this instance follows another one
         */
        DiscoveryResponse changesSince(
                Map<DiscoveryKind, StoreRevision> revisions, boolean indirect);
    }

    /** One poll; its methods run on the I/O thread of its exchange. */
    private final class Poll {
        private final HttpServerExchange exchange;
        private final Map<DiscoveryKind, StoreRevision> revisions;
        private final boolean indirect;

        Poll(
                HttpServerExchange exchange,
                Map<DiscoveryKind, StoreRevision> revisions,
                boolean indirect) {
            this.exchange = exchange;
            this.revisions = revisions;
            this.indirect = indirect;
        }

        void startWaiting(long waitMillis) {
            waiting.add(this);
            exchange.getIoThread().executeAfter(this::waitEnded, waitMillis, TimeUnit.MILLISECONDS);
            // A change may have come between the first look and the registration.
            changed();
        }

        void changed() {
            if (waiting.contains(this) && answer(false)) {
                waiting.remove(this);
            }
        }

        private void waitEnded() {
            if (waiting.remove(this)) {
                answer(true);
            }
        }

        /** Answers, if there is a change or if an empty answer is allowed. */
        boolean answer(boolean emptyAllowed) {
            switch (source.changesSince(revisions, indirect)) {
                case DiscoveryResponse.PeerChanges changes -> {
                    if (changes.isEmpty() && !emptyAllowed) {
                        return false;
                    }
                    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                    exchange.getResponseSender().send(encoder.apply(changes));
                }
                case DiscoveryResponse.HistoryDiscarded discarded ->
                        end(exchange, StatusCodes.GONE);
                default -> end(exchange, StatusCodes.SERVICE_UNAVAILABLE);
            }
            return true;
        }
    }
}
