package org.snipeslip.server.http;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.snipeslip.core.instance.Action;

/**
 * Builds the head of the request to a backend server, or to another instance, from the caller's
 * request.
 */
final class BackendRequestBuilder {
    private static final HttpString FORWARDED_FOR = new HttpString("X-Forwarded-For");
    private static final HttpString FORWARDED = new HttpString("Forwarded");

    private BackendRequestBuilder() {}

    static ClientRequest build(CallRelay relay, Action.SendTry action, long remainingMillis) {
        HttpServerExchange exchange = relay.exchange();
        ClientRequest request = new ClientRequest();
        request.setMethod(exchange.getRequestMethod());
        request.setPath(RequestTarget.pathAndQuery(exchange));
        HeaderMap headers = request.getRequestHeaders();
        HopByHop.copyEndToEnd(exchange.getRequestHeaders(), headers);
        headers.remove(Headers.EXPECT);
        headers.remove(SnipeslipHeaders.HANDOVER);
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, BackendConnectionPool.authority(action.target()));
        }
        if (exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        HttpDialect dialect = relay.dialect();
        putOrganisation(headers, dialect, action);
        headers.put(dialect.deadlineMillis(), remainingMillis);
        if (action.handover() != null) {
            headers.put(SnipeslipHeaders.HANDOVER, HandoverHeader.encode(action.handover()));
        } else if (dialect.expectedServer() != null) {
            headers.put(dialect.expectedServer(), action.target().id().value());
        }
        if (!dialect.callerSetsRequestId()) {
            headers.put(dialect.requestId(), action.tryId().request().value());
        }
        if (dialect.propagatesCallTree()) {
            appendClientAddress(exchange, headers);
            headers.put(SnipeslipHeaders.DEPTH, relay.depth() + 1);
            headers.put(SnipeslipHeaders.RETRIES_LEFT, action.retriesLeft());
        }
        return request;
    }

    /** Replaces what the caller says about itself. Its key was removed when it was read. */
    private static void putOrganisation(
            HeaderMap headers, HttpDialect dialect, Action.SendTry action) {
        if (dialect.apiKey() != null) {
            headers.remove(dialect.apiKey());
        }
        if (dialect.organisation() != null) {
            headers.remove(dialect.organisation());
            if (action.organisation() != null) {
                headers.put(dialect.organisation(), action.organisation().value());
            }
        }
    }

    /**
     * Appends the caller's address as a further field line. For a list header this is equivalent to
     * an appended list element.
     */
    private static void appendClientAddress(HttpServerExchange exchange, HeaderMap headers) {
        InetSocketAddress peer = exchange.getSourceAddress();
        InetAddress address = peer == null ? null : peer.getAddress();
        if (address == null) {
            return;
        }
        String clientIp = address.getHostAddress();
        headers.add(FORWARDED_FOR, clientIp);
        headers.add(
                FORWARDED,
                clientIp.indexOf(':') < 0 ? "for=" + clientIp : "for=\"[" + clientIp + "]\"");
    }
}
