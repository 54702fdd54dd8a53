package org.snipeslip.server.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.runtime.InstanceRuntime;

/** Turns each request on the caller port into a call of the state machine. */
public final class CallHandler implements HttpHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceRuntime runtime;
    private final BackendConnections connections;
    private final String requestIdPrefix;
    private final AtomicLong nextRequest = new AtomicLong();

    /**
     * Creates a handler.
     *
     * @param runtime takes the calls
     * @param connections connections to backend servers
     * @param requestIdPrefix makes request ids unique across instances and restarts
     */
    public CallHandler(
            InstanceRuntime runtime, BackendConnections connections, String requestIdPrefix) {
        this.runtime = runtime;
        this.connections = connections;
        this.requestIdPrefix = requestIdPrefix;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestId request =
                new RequestId(
                        requestIdPrefix
                                + "-"
                                + Long.toString(
                                        nextRequest.incrementAndGet(), Character.MAX_RADIX));
        CallHead head = head(exchange);
        CallRelay relay = new CallRelay(request, exchange, head.depth(), runtime, connections);
        exchange.dispatch(
                io.undertow.util.SameThreadExecutor.INSTANCE,
                () -> runtime.begin(request, relay, new Event.CallArrived(request, head)));
    }

    private static CallHead head(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        String organisation = headers.getFirst(SnipeslipHeaders.ORGANISATION);
        String key = headers.getFirst(SnipeslipHeaders.IDEMPOTENCY_KEY);
        return new CallHead(
                exchange.getRequestMethod().toString(),
                exchange.getHostName().toLowerCase(Locale.ROOT),
                exchange.getRequestURI(),
                organisation == null || organisation.isBlank()
                        ? null
                        : new OrganisationId(organisation),
                key == null || key.isBlank() ? null : new IdempotencyKey(key),
                exchange.getRequestMethod() + " " + exchange.getRequestURI(),
                Math.max(0, number(headers, SnipeslipHeaders.DEADLINE_MILLIS, 0)) * NANOS_PER_MILLI,
                (int) number(headers, SnipeslipHeaders.DEPTH, 0),
                (int) number(headers, SnipeslipHeaders.RETRIES_LEFT, -1),
                exchange.isRequestComplete());
    }

    private static long number(HeaderMap headers, HttpString name, long absent) {
        String value = headers.getFirst(name);
        if (value == null) {
            return absent;
        }
        try {
            return Integer.parseInt(value.trim());
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
