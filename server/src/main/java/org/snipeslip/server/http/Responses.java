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

/** Sends small responses from memory, and closes connections whose request was not fully read. */
final class Responses {
    private static final Logger LOG = LoggerFactory.getLogger(Responses.class);

    /**
     * Time for a caller to read the response before its connection is closed. Closing a socket with
     * unread bytes resets it, and a reset can discard a response that the caller has not read yet.
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
        boolean bodiless = ResponseValidator.isBodiless(exchange.getStatusCode());
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
                                closeIfRequestUnread(exchange);
                            }

                            @Override
                            public void sourceFailed(IOException e) {
                                throw new IllegalStateException(
                                        "reading an in-memory body failed", e);
                            }

                            @Override
                            public void sinkFailed(IOException e) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        })
                .start();
    }

    private static final io.undertow.util.HttpString HEAD = io.undertow.util.Methods.HEAD;

    /** Closes the connection after the response if the request was not fully read. */
    static void closeIfRequestUnread(HttpServerExchange exchange) {
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
     * Closes the connection with a reset. A response with neither Content-Length nor chunks ends
     * with the close of its connection, so an orderly close would look like a complete response.
     */
    static void resetConnection(HttpServerExchange exchange) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException | IllegalArgumentException e) {
            LOG.debug("cannot enable reset on close; closing the connection normally", e);
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
