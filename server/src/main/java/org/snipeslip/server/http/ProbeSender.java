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
import org.snipeslip.core.call.ServerPresence;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Probes backend servers for their load, on the connection pool that calls use. A call that follows
 * a probe therefore reuses a connection that has just worked.
 */
public final class ProbeSender {
    private static final long TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    /** Size of a request without its path and host name. */
    private static final int REQUEST_BYTES = "GET  HTTP/1.1\r\nHost: \r\n\r\n".length();

    /** Size of a usual response without the load value and the body. */
    private static final int RESPONSE_BYTES =
            "HTTP/1.1 200 OK\r\nSnipeslip-Load: \r\nContent-Length: 0\r\n\r\n".length();

    private final BackendConnectionPool connections;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final HttpDialect dialect;
    private final Consumer<Event> events;

    /**
     * Creates a sender.
     *
     * @param connections connections to backend servers
     * @param ioThread runs all probes
     * @param buffers buffer pool for reading responses
     * @param dialect header fields for load and server name
     * @param events receives {@link Event.ProbeAnswered} or {@link Event.ProbeFailed} for each
     *     probe
     */
    public ProbeSender(
            BackendConnectionPool connections,
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
     * Sends a probe. May be called on any thread; the result is reported on the I/O thread.
     *
     * @param action server and path to probe
     */
    public void send(Action.SendProbe action) {
        if (Thread.currentThread() == ioThread) {
            new Probe(action, Purpose.LOAD).start();
        } else {
            ioThread.execute(() -> new Probe(action, Purpose.LOAD).start());
        }
    }

    /**
     * Checks whether a server is running. May be called on any thread; the result is reported on
     * the I/O thread as {@link Event.ServerChecked}.
     *
     * @param action server and path to check it with
     */
    public void check(Action.CheckServer action) {
        Action.SendProbe probe =
                new Action.SendProbe(action.service(), action.target(), action.path());
        ioThread.execute(() -> new Probe(probe, Purpose.PRESENCE).start());
    }

    /**
     * Tries to reach a server on a new connection. May be called on any thread; the result is
     * reported on the I/O thread as {@link Event.LinkTested}.
     *
     * @param action server and path to try it with
     */
    public void test(Action.TestLink action) {
        Action.SendProbe probe =
                new Action.SendProbe(action.service(), action.target(), action.path());
        ioThread.execute(() -> new Probe(probe, Purpose.LINK).start());
    }

    /** What a probe is to show. */
    private enum Purpose {
        /** The load of a server, on a connection that calls use. */
        LOAD,
        /** Whether a server is running, on a connection of its own. */
        PRESENCE,
        /** Whether any server at the address is reached, on a connection of its own. */
        LINK
    }

    /** One probe, which reports exactly one event. */
    private final class Probe
            implements BackendConnectionPool.Listener, SimpleHttpExchange.Listener {
        private final Action.SendProbe action;

        private final Purpose purpose;

        private XnioExecutor.Key timeout;
        private ClientConnection connection;
        private boolean ended;
        private boolean responded;

        Probe(Action.SendProbe action, Purpose purpose) {
            this.action = action;
            this.purpose = purpose;
        }

        void start() {
            timeout =
                    ioThread.executeAfter(
                            () -> fail(ServerPresence.UNKNOWN),
                            TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
            if (purpose != Purpose.LOAD) {
                connections.open(action.target(), ioThread, this);
            } else {
                connections.acquire(action.target(), ioThread, this);
            }
        }

        @Override
        public void connected(ClientConnection acquired) {
            if (ended) {
                releaseConnection(acquired, dialect.defaultIdleMillis());
                return;
            }
            connection = acquired;
            ResponseConduit responses = connections.responses(acquired);
            if (responses == null) {
                fail(ServerPresence.UNKNOWN);
                return;
            }
            URI origin = URI.create("http://" + BackendConnectionPool.authority(action.target()));
            new SimpleHttpExchange(acquired, responses, buffers, this)
                    .send(new SimpleHttpRequest(origin, "GET", action.path(), Map.of(), ""));
        }

        @Override
        public void failed(TryFailure failure) {
            fail(
                    failure == TryFailure.NOT_CONNECTED
                            ? ServerPresence.GONE
                            : ServerPresence.UNKNOWN);
        }

        @Override
        public void failed(IOException e) {
            // What is no response still shows that the server was reached.
            responded |= e instanceof MalformedResponseException;
            fail(ServerPresence.UNKNOWN);
        }

        @Override
        public void responseReceived(ClientResponse response, String body) {
            responded = true;
            HeaderMap headers = response.getResponseHeaders();
            String loadValue = headers.getFirst(dialect.load());
            LoadReport load = dialect.readLoad(headers);
            boolean ok = response.getResponseCode() == OK;
            if (purpose != Purpose.LOAD
                    || !load.saysAnything()
                    || !isFromTarget(headers)
                    || !ok && dialect.serverName() == null) {
                fail(isFromTarget(headers) ? ServerPresence.RUNNING : ServerPresence.GONE);
            } else if (markEnded()) {
                connections.release(
                        action.target(),
                        connection,
                        KeepAlive.reusableNanos(headers, dialect.defaultIdleMillis()));
                int requestBytes =
                        REQUEST_BYTES
                                + action.path().length()
                                + BackendConnectionPool.authority(action.target()).length();
                int loadBytes = loadValue == null ? 0 : loadValue.length();
                long sizeBytes = requestBytes + RESPONSE_BYTES + loadBytes + body.length();
                events.accept(
                        new Event.ProbeAnswered(
                                action.service(),
                                action.target().id(),
                                ok ? load : load.asUnhealthy(),
                                sizeBytes));
            }
        }

        /**
         * Checks the server name, because an address may have been reassigned to another server.
         */
        private boolean isFromTarget(HeaderMap headers) {
            return dialect.serverName() == null
                    || action.target().id().value().equals(headers.getFirst(dialect.serverName()));
        }

        private void releaseConnection(ClientConnection acquired, long idleMillis) {
            connections.release(
                    action.target(), acquired, TimeUnit.MILLISECONDS.toNanos(idleMillis));
        }

        private void fail(ServerPresence presence) {
            if (markEnded()) {
                BackendServerConnections.closeNow(connection);
                ServiceId service = action.service();
                BackendServerId server = action.target().id();
                events.accept(
                        switch (purpose) {
                            case LOAD -> new Event.ProbeFailed(service, server);
                            case PRESENCE -> new Event.ServerChecked(service, server, presence);
                            case LINK -> new Event.LinkTested(action.target(), responded);
                        });
            }
        }

        private boolean markEnded() {
            if (ended) {
                return false;
            }
            ended = true;
            timeout.remove();
            return true;
        }
    }
}
