package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.config.BackendServer;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Pool of connections to backend servers. Idle connections are pooled per I/O thread, because a
 * connection and the caller's exchange must run on the same thread; the limit per backend server
 * applies to all threads together. At the limit, an idle connection of another thread is closed to
 * free its slot.
 */
public final class BackendConnectionPool implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /**
     * Ten round trips to another region. A server that has lost power or is behind a network
     * partition does not respond at all, so that only a timeout ends the attempt.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES);

    private final ByteBufferPool buffers;
    private final int instances;
    private final ConcurrentHashMap<String, BackendServerConnections> byAuthority =
            new ConcurrentHashMap<>();
    private final Map<ClientConnection, ResponseConduit> conduits = new ConcurrentHashMap<>();
    private final LongAdder openConnections = new LongAdder();
    private volatile boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param buffers buffer pool of new connections
     * @param instances configured number of instances; each gets an equal share of the connection
     *     limit of a backend server, but at least one connection
     */
    public BackendConnectionPool(ByteBufferPool buffers, int instances) {
        this.buffers = buffers;
        this.instances = Math.max(1, instances);
    }

    /**
     * Counts the open connections to all backend servers.
     *
     * @return connections in use, idle or being opened
     */
    public long openConnections() {
        return openConnections.sum();
    }

    /**
     * Closes connections that have been idle for too long, and removes the entries of backend
     * servers without connections.
     *
     * @param idleNanos connections that have been idle for at least this long are closed
     */
    public void closeIdle(long idleNanos) {
        long beforeNanos = System.nanoTime() - idleNanos;
        byAuthority.values().forEach(connections -> connections.closeIdleSinceBefore(beforeNanos));
        byAuthority.values().removeIf(BackendServerConnections::retire);
    }

    /**
     * Counts the open connections to one backend server.
     *
     * @param server identified by its host and port
     * @return connections in use, idle or being opened
     */
    public int openConnections(BackendServer server) {
        BackendServerConnections connections = byAuthority.get(authority(server));
        return connections == null ? 0 : connections.openCount();
    }

    /** Acquires an idle connection or opens a new one; calls the listener on the I/O thread. */
    void acquire(BackendServer server, XnioIoThread ioThread, Listener listener) {
        BackendServerConnections connections = connectionsOf(server);
        ClientConnection idle = connections.pollIdle(ioThread);
        if (idle != null) {
            listener.connected(idle);
            return;
        }
        if (connections.tryReserve(limit(server))) {
            connect(server, connections, ioThread, listener);
            return;
        }
        ClientConnection idleOnOtherThread = connections.pollAnyIdle();
        if (idleOnOtherThread == null) {
            listener.failed(TryFailure.NO_CONNECTION_LEFT);
            return;
        }
        idleOnOtherThread
                .getIoThread()
                .execute(
                        () -> {
                            BackendServerConnections.closeNow(idleOnOtherThread);
                            ioThread.execute(
                                    () -> connectAfterEviction(server, ioThread, listener));
                        });
    }

    /**
     * Opens a new connection, because an idle one does not show whether the server still listens;
     * calls the listener on the I/O thread.
     */
    void open(BackendServer server, XnioIoThread ioThread, Listener listener) {
        connectAfterEviction(server, ioThread, listener);
    }

    /**
     * Returns what checks the responses on an open connection, or null if the connection is closed.
     */
    ResponseConduit responses(ClientConnection connection) {
        return conduits.get(connection);
    }

    /** Returns a connection to the pool; its request and response must both be complete. */
    void release(BackendServer server, ClientConnection connection, long usableNanos) {
        // Deferred to a separate task, so that Undertow's client first reads any bytes that follow
        // the response in the same packet. Such bytes make it close the connection.
        try {
            connection.getIoThread().execute(() -> addIdle(server, connection, usableNanos));
        } catch (RejectedExecutionException e) {
            BackendServerConnections.closeNow(connection);
        }
    }

    private void addIdle(BackendServer server, ClientConnection connection, long usableNanos) {
        ResponseConduit responses = responses(connection);
        if (closed
                || !connection.isOpen()
                || usableNanos <= 0
                || responses == null
                || responses.holdsBytes()) {
            BackendServerConnections.closeNow(connection);
        } else {
            connectionsOf(server).offerIdle(connection, usableNanos);
        }
    }

    @Override
    public void close() {
        closed = true;
        closeIdle(0);
    }

    private void connectAfterEviction(
            BackendServer server, XnioIoThread ioThread, Listener listener) {
        BackendServerConnections connections = connectionsOf(server);
        if (connections.tryReserve(limit(server))) {
            connect(server, connections, ioThread, listener);
        } else {
            listener.failed(TryFailure.NO_CONNECTION_LEFT);
        }
    }

    private int limit(BackendServer server) {
        return Math.max(1, server.connectionLimit() / instances);
    }

    private BackendServerConnections connectionsOf(BackendServer server) {
        return byAuthority.compute(
                authority(server),
                (key, existing) ->
                        existing == null || existing.isRetired()
                                ? new BackendServerConnections()
                                : existing);
    }

    private void connect(
            BackendServer server,
            BackendServerConnections connections,
            XnioIoThread ioThread,
            Listener listener) {
        openConnections.increment();
        LimitingConnector connector = new LimitingConnector(ioThread, MAX_HEADER_BYTES);
        ConnectAttempt callback =
                new ConnectAttempt(server, connections, ioThread, connector, listener);
        URI uri = URI.create("http://" + authority(server));
        UndertowClient.getInstance().connect(callback, uri, connector, buffers, OPTIONS);
    }

    /**
     * One attempt to connect. After the timeout, it is reported as failed to the listener; a
     * connection that is established later goes to the pool.
     */
    private final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private final BackendServer server;
        private final BackendServerConnections connections;
        private final Listener listener;
        private final LimitingConnector connector;
        private final XnioExecutor.Key timeout;
        private boolean ended;

        ConnectAttempt(
                BackendServer server,
                BackendServerConnections connections,
                XnioIoThread ioThread,
                LimitingConnector connector,
                Listener listener) {
            this.server = server;
            this.connections = connections;
            this.listener = listener;
            this.connector = connector;
            this.timeout =
                    ioThread.executeAfter(
                            this::onTimeout, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void completed(ClientConnection result) {
            timeout.remove();
            conduits.put(result, connector.responses());
            result.addCloseListener(
                    closedConnection -> {
                        conduits.remove(result);
                        connectionClosed(connections);
                    });
            if (markEnded()) {
                listener.connected(result);
            } else {
                addIdle(server, result, TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS));
            }
        }

        @Override
        public void failed(IOException e) {
            timeout.remove();
            connectionClosed(connections);
            if (markEnded()) {
                listener.failed(TryFailure.NOT_CONNECTED);
            }
        }

        private void onTimeout() {
            if (markEnded()) {
                listener.failed(TryFailure.CONNECT_TIMED_OUT);
            }
        }

        private boolean markEnded() {
            boolean first = !ended;
            ended = true;
            return first;
        }
    }

    private void connectionClosed(BackendServerConnections connections) {
        openConnections.decrement();
        connections.release();
    }

    static String authority(BackendServer server) {
        String host = server.host();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + server.port();
    }

    /** Receives a connection, or the reason why none is available. */
    interface Listener {
        void connected(ClientConnection connection);

        void failed(TryFailure failure);
    }
}
