package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.instance.RecordableAnswer;
import org.xnio.IoUtils;
import org.xnio.Options;

/** Sends small responses from memory and ends connections whose request was not read. */
final class Responses {
    private static final Logger LOG = LoggerFactory.getLogger(Responses.class);

    /**
     * Time for a caller to read the response before the close. Closing a socket with unread bytes
     * resets it, and a reset may destroy a response that the caller has not read yet.
     */
    private static final long LINGER_MILLIS = 1_000;

    private Responses() {}

    static void replay(HttpServerExchange exchange, RecordableAnswer answer) {
        exchange.setStatusCode(answer.status());
        if (!answer.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
        }
        exchange.getResponseHeaders().put(SnipeslipHeaders.REPLAYED, answer.bodyKept() ? "1" : "0");
        send(exchange, Base64.getDecoder().decode(answer.body()));
    }

    static void send(HttpServerExchange exchange, byte[] body) {
        boolean bodiless = ResponseCheck.isBodiless(exchange.getStatusCode());
        if (!bodiless) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        byte[] sent = bodiless || exchange.getRequestMethod().equals(HEAD) ? new byte[0] : body;
        new BodyPump(
                        ByteBuffer.wrap(sent),
                        exchange.getResponseChannel(),
                        new BodyPump.Listener() {
                            @Override
                            public void completed() {
                                closeIfUnread(exchange);
                            }

                            @Override
                            public void sourceFailed(IOException e) {
                                throw new IllegalStateException("the source is in memory", e);
                            }

                            @Override
                            public void sinkFailed(IOException e) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        })
                .start();
    }

    private static final io.undertow.util.HttpString HEAD = io.undertow.util.Methods.HEAD;

    /** Ends the connection after its last response if a request body was left unread. */
    static void closeIfUnread(HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return;
        }
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        try {
            connection.getOriginalSinkConduit().terminateWrites();
            connection.getOriginalSinkConduit().flush();
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        connection
                .getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(connection), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection with a reset, because the end of a response without length and chunks
     * looks the same as a plain close.
     */
    static void abort(HttpServerExchange exchange) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException | IllegalArgumentException e) {
            LOG.debug("the connection cannot be reset", e);
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
