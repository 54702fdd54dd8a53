package org.snipeslip.server.http;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Asks backend servers for their load, on the connections that calls use. A call that follows its
 * probe finds a connection that was just seen to work.
 */
public final class ProbeSender {
    private static final long TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    /** Request line, Host and the line ends around them, beside path and host name. */
    private static final int REQUEST_BYTES = "GET  HTTP/1.1\r\nHost: \r\n\r\n".length();

    /** Status line, length and load header of a usual answer, beside their values and the body. */
    private static final int RESPONSE_BYTES =
            "HTTP/1.1 200 OK\r\nSnipeslip-Load: \r\nContent-Length: 0\r\n\r\n".length();

    private final BackendConnections connections;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final HttpDialect dialect;
    private final Consumer<Event> events;

    /**
     * Creates a sender.
     *
     * @param connections connections to backend servers
     * @param ioThread runs all work
     * @param buffers buffers of responses
     * @param dialect header fields of load and server name
     * @param events takes the answers
     */
    public ProbeSender(
            BackendConnections connections,
            XnioIoThread ioThread,
            ByteBufferPool buffers,
            HttpDialect dialect,
            Consumer<Event> events) {
        this.connections = connections;
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.dialect = dialect;
        this.events = events;
    }

    /**
     * Sends a probe.
     *
     * @param order what to probe
     */
    public void send(Action.SendProbe order) {
        if (Thread.currentThread() == ioThread) {
            new Probe(order).start();
        } else {
            ioThread.execute(() -> new Probe(order).start());
        }
    }

    /** One probe; it ends with one event. */
    private final class Probe implements BackendConnections.Listener, MessageExchange.Listener {
        private final Action.SendProbe order;
        private XnioExecutor.Key timeout;
        private ClientConnection connection;
        private boolean ended;

        Probe(Action.SendProbe order) {
            this.order = order;
        }

        void start() {
            timeout = ioThread.executeAfter(this::fail, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            connections.take(order.target(), ioThread, this);
        }

        @Override
        public void connected(ClientConnection open) {
            if (ended) {
                giveBack(open, dialect.defaultIdleMillis());
                return;
            }
            connection = open;
            URI origin = URI.create("http://" + BackendConnections.authority(order.target()));
            new MessageExchange(open, buffers, this)
                    .send(new HttpMessage(origin, "GET", order.path(), Map.of(), ""));
        }

        @Override
        public void failed(TryFailure failure) {
            fail();
        }

        @Override
        public void failed(IOException e) {
            fail();
        }

        @Override
        public void answered(ClientResponse response, String body) {
            HeaderMap headers = response.getResponseHeaders();
            String value = headers.getFirst(dialect.load());
            LoadReport load = dialect.loadReader().apply(value);
            boolean ok = response.getResponseCode() == OK;
            if (!load.isKnown() || !isTarget(headers) || !ok && dialect.serverName() == null) {
                fail();
            } else if (end()) {
                connections.giveBack(
                        order.target(),
                        connection,
                        KeepAlive.usableNanos(headers, dialect.defaultIdleMillis()));
                int requestBytes =
                        REQUEST_BYTES
                                + order.path().length()
                                + BackendConnections.authority(order.target()).length();
                long sizeBytes = requestBytes + RESPONSE_BYTES + value.length() + body.length();
                events.accept(
                        new Event.ProbeAnswered(
                                order.service(),
                                order.target().id(),
                                ok ? load : load.asUnwell(),
                                sizeBytes));
            }
        }

        /** An address may have gone to another server. */
        private boolean isTarget(HeaderMap headers) {
            return dialect.serverName() == null
                    || order.target().id().value().equals(headers.getFirst(dialect.serverName()));
        }

        private void giveBack(ClientConnection open, long idleMillis) {
            connections.giveBack(order.target(), open, TimeUnit.MILLISECONDS.toNanos(idleMillis));
        }

        private void fail() {
            if (end()) {
                ServerConnections.closeNow(connection);
                events.accept(new Event.ProbeFailed(order.service(), order.target().id()));
            }
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            timeout.remove();
            return true;
        }
    }
}
