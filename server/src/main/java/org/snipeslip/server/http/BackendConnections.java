package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
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
 * Connections to backend servers. Idle ones are kept per I/O thread, because a connection and the
 * caller's exchange must share their thread; the limit per backend server spans all threads. At the
 * limit an idle connection of another thread is closed to make room.
 */
public final class BackendConnections implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /**
     * Ten round trips to another region; a server without power or behind a partition answers
     * nothing at all.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES);

    private final ByteBufferPool buffers;
    private final int instances;
    private final ConcurrentHashMap<String, ServerConnections> byAuthority =
            new ConcurrentHashMap<>();
    private final LongAdder openConnections = new LongAdder();
    private volatile boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param buffers buffers of new connections
     * @param instances configured number of instances, which share the limit of a backend server
     */
    public BackendConnections(ByteBufferPool buffers, int instances) {
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
     * Closes connections that were idle for a while, and forgets backend servers without any.
     *
     * @param idleNanos connections idle for longer are closed
     */
    public void closeIdle(long idleNanos) {
        long beforeNanos = System.nanoTime() - idleNanos;
        byAuthority.values().forEach(connections -> connections.closeIdleSince(beforeNanos));
        byAuthority.values().removeIf(ServerConnections::retire);
    }

    /**
     * Counts the open connections to one backend server.
     *
     * @param server the backend server
     * @return connections in use, idle or being opened
     */
    public int openConnections(BackendServer server) {
        ServerConnections connections = byAuthority.get(authority(server));
        return connections == null ? 0 : connections.open();
    }

    /** Takes an idle connection or opens one; the listener is called on the I/O thread. */
    void take(BackendServer server, XnioIoThread ioThread, Listener listener) {
        ServerConnections connections = connectionsOf(server);
        ClientConnection idle = connections.pollIdle(ioThread);
        if (idle != null) {
            listener.connected(idle);
            return;
        }
        if (connections.tryReserve(limit(server))) {
            connect(server, connections, ioThread, listener);
            return;
        }
        ClientConnection elsewhere = connections.pollAnyIdle();
        if (elsewhere == null) {
            listener.failed(TryFailure.NO_CONNECTION_LEFT);
            return;
        }
        elsewhere
                .getIoThread()
                .execute(
                        () -> {
                            ServerConnections.closeNow(elsewhere);
                            ioThread.execute(() -> retry(server, ioThread, listener));
                        });
    }

    /** Gives back a connection whose request and response are both complete. */
    void giveBack(BackendServer server, ClientConnection connection, long usableNanos) {
        // The pool gets the connection one task later, after the client has read what may follow
        // the response in the same packet. Such bytes make it close the connection.
        try {
            connection.getIoThread().execute(() -> keep(server, connection, usableNanos));
        } catch (RejectedExecutionException e) {
            ServerConnections.closeNow(connection);
        }
    }

    private void keep(BackendServer server, ClientConnection connection, long usableNanos) {
        if (closed || !connection.isOpen() || usableNanos <= 0) {
            ServerConnections.closeNow(connection);
        } else {
            connectionsOf(server).offerIdle(connection, usableNanos);
        }
    }

    @Override
    public void close() {
        closed = true;
        closeIdle(0);
    }

    private void retry(BackendServer server, XnioIoThread ioThread, Listener listener) {
        ServerConnections connections = connectionsOf(server);
        if (connections.tryReserve(limit(server))) {
            connect(server, connections, ioThread, listener);
        } else {
            listener.failed(TryFailure.NO_CONNECTION_LEFT);
        }
    }

    private int limit(BackendServer server) {
        return Math.max(1, server.connectionLimit() / instances);
    }

    private ServerConnections connectionsOf(BackendServer server) {
        return byAuthority.compute(
                authority(server),
                (key, present) ->
                        present == null || present.isRetired() ? new ServerConnections() : present);
    }

    private void connect(
            BackendServer server,
            ServerConnections connections,
            XnioIoThread ioThread,
            Listener listener) {
        openConnections.increment();
        ConnectAttempt callback = new ConnectAttempt(server, connections, ioThread, listener);
        URI uri = URI.create("http://" + authority(server));
        UndertowClient.getInstance().connect(callback, uri, ioThread, buffers, OPTIONS);
    }

    /** One attempt to connect, which ends for its listener at a time limit. */
    private final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private final BackendServer server;
        private final ServerConnections connections;
        private final Listener listener;
        private final XnioExecutor.Key timeout;
        private boolean ended;

        ConnectAttempt(
                BackendServer server,
                ServerConnections connections,
                XnioIoThread ioThread,
                Listener listener) {
            this.server = server;
            this.connections = connections;
            this.listener = listener;
            this.timeout =
                    ioThread.executeAfter(
                            this::timeUp, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void completed(ClientConnection result) {
            timeout.remove();
            result.addCloseListener(closedOne -> release(connections));
            if (end()) {
                listener.connected(result);
            } else {
                keep(server, result, TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS));
            }
        }

        @Override
        public void failed(IOException e) {
            timeout.remove();
            release(connections);
            if (end()) {
                listener.failed(TryFailure.NOT_CONNECTED);
            }
        }

        private void timeUp() {
            if (end()) {
                listener.failed(TryFailure.NOT_CONNECTED);
            }
        }

        private boolean end() {
            boolean first = !ended;
            ended = true;
            return first;
        }
    }

    private void release(ServerConnections connections) {
        openConnections.decrement();
        connections.release();
    }

    static String authority(BackendServer server) {
        String host = server.host();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + server.port();
    }

    /** Takes a connection or the reason why there is none. */
    interface Listener {
        void connected(ClientConnection connection);

        void failed(TryFailure failure);
    }
}
