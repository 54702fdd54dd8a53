package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.snipeslip.core.config.BackendServer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Idle connections to backend servers, kept per I/O thread because a connection and the caller's
 * exchange must share their thread.
 */
public final class BackendConnections {
    private static final int MAX_IDLE = 16;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES);

    private final ByteBufferPool buffers;
    private final ConcurrentHashMap<Key, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param buffers buffers of new connections
     */
    public BackendConnections(ByteBufferPool buffers) {
        this.buffers = buffers;
    }

    void take(
            BackendServer server,
            XnioIoThread ioThread,
            ClientCallback<ClientConnection> callback) {
        Deque<ClientConnection> connections = idle.get(new Key(ioThread, authority(server)));
        ClientConnection pooled;
        while (connections != null && (pooled = connections.pollFirst()) != null) {
            if (pooled.isOpen()) {
                callback.completed(pooled);
                return;
            }
        }
        UndertowClient.getInstance()
                .connect(
                        callback,
                        URI.create("http://" + authority(server)),
                        ioThread,
                        buffers,
                        OPTIONS);
    }

    void giveBack(BackendServer server, ClientConnection connection) {
        Deque<ClientConnection> connections =
                idle.computeIfAbsent(
                        new Key(connection.getIoThread(), authority(server)),
                        key -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && connections.size() < MAX_IDLE) {
            connections.offerFirst(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }

    static String authority(BackendServer server) {
        return server.host() + ":" + server.port();
    }

    /** Thread and address of a group of connections. */
    private record Key(XnioIoThread ioThread, String authority) {}
}
