package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends small requests whose bodies are held in memory: object API calls and probes. All work runs
 * on one I/O thread, so its tables need no lock.
 */
public final class HttpMessageClient {
    /** Fewer would make a load generator open a connection for most calls of a burst. */
    private static final int MAX_IDLE_PER_ORIGIN = 64;

    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final Map<URI, Deque<ClientConnection>> idle = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param ioThread runs all work
     * @param buffers buffers of connections
     */
    public HttpMessageClient(XnioIoThread ioThread, ByteBufferPool buffers) {
        this.ioThread = ioThread;
        this.buffers = buffers;
    }

    /**
     * Sends a request; the listener is called once, on the I/O thread.
     *
     * @param message the request
     * @param timeoutMillis time limit in milliseconds
     * @param listener takes the result
     */
    public void send(HttpMessage message, long timeoutMillis, HttpMessageListener listener) {
        ioThread.execute(() -> new Transaction(message, listener).start(timeoutMillis));
    }

    /** One request and its result. */
    private final class Transaction {
        private final HttpMessage message;
        private final HttpMessageListener listener;
        private boolean done;
        private boolean sent;
        private ClientConnection connection;
        private XnioExecutor.Key timeout;

        Transaction(HttpMessage message, HttpMessageListener listener) {
            this.message = message;
            this.listener = listener;
        }

        void start(long timeoutMillis) {
            timeout =
                    ioThread.executeAfter(
                            () -> fail(new IOException("no answer within the time limit")),
                            timeoutMillis,
                            TimeUnit.MILLISECONDS);
            ClientConnection pooled = takeIdle(message.origin());
            if (pooled != null) {
                write(pooled);
            } else {
                connect();
            }
        }

        private void connect() {
            UndertowClient.getInstance()
                    .connect(
                            callback(this::write),
                            message.origin(),
                            ioThread,
                            buffers,
                            OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024));
        }

        private void write(ClientConnection open) {
            if (done) {
                IoUtils.safeClose(open);
                return;
            }
            connection = open;
            sent = true;
            byte[] body = message.body().getBytes(StandardCharsets.UTF_8);
            ClientRequest request = new ClientRequest();
            request.setMethod(HttpString.tryFromString(message.method()));
            request.setPath(message.target());
            request.getRequestHeaders().put(Headers.HOST, message.origin().getAuthority());
            message.headers()
                    .forEach(
                            (name, value) ->
                                    request.getRequestHeaders().put(new HttpString(name), value));
            if (body.length > 0) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            }
            open.sendRequest(request, callback(exchange -> exchanged(exchange, body.length > 0)));
        }

        private void exchanged(ClientExchange exchange, boolean hasBody) {
            exchange.setResponseListener(callback(this::answered));
            if (hasBody) {
                new StringWriteChannelListener(message.body(), StandardCharsets.UTF_8)
                        .setup(exchange.getRequestChannel());
            }
        }

        private void answered(ClientExchange exchange) {
            new StringReadChannelListener(buffers) {
                @Override
                protected void stringDone(String text) {
                    succeed(exchange, text);
                }

                @Override
                protected void error(IOException e) {
                    fail(e);
                }
            }.setup(exchange.getResponseChannel());
        }

        private void succeed(ClientExchange exchange, String text) {
            if (finish()) {
                giveBack(message.origin(), connection);
                listener.answered(
                        exchange.getResponse().getResponseCode(),
                        name -> exchange.getResponse().getResponseHeaders().getFirst(name),
                        text);
            }
        }

        private void fail(IOException e) {
            if (finish()) {
                IoUtils.safeClose(connection);
                listener.failed(sent, e);
            }
        }

        private boolean finish() {
            if (done) {
                return false;
            }
            done = true;
            timeout.remove();
            return true;
        }

        private <T> ClientCallback<T> callback(java.util.function.Consumer<T> onCompleted) {
            return new ClientCallback<>() {
                @Override
                public void completed(T result) {
                    onCompleted.accept(result);
                }

                @Override
                public void failed(IOException e) {
                    fail(e);
                }
            };
        }
    }

    private ClientConnection takeIdle(URI origin) {
        Deque<ClientConnection> connections = idle.getOrDefault(origin, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            ClientConnection connection = connections.pop();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    private void giveBack(URI origin, ClientConnection connection) {
        Deque<ClientConnection> connections =
                idle.computeIfAbsent(origin, key -> new ArrayDeque<>());
        if (connection.isOpen() && connections.size() < MAX_IDLE_PER_ORIGIN) {
            connections.push(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }
}
