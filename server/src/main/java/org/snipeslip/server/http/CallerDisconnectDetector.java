package org.snipeslip.server.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closed its connection while its call is open. Undertow does not read from
 * the connection between a request and its response, so this class reads from the socket directly
 * and returns the bytes of a pipelined request to Undertow. Undertow reinstalls its own listener
 * when the exchange ends.
 */
final class CallerDisconnectDetector {
    private final HttpServerConnection connection;
    private final StreamSourceConduit socket;
    private final Runnable onDisconnect;

    private CallerDisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
        this.socket = connection.getOriginalSourceConduit();
        this.onDisconnect = onDisconnect;
    }

    /** Starts detection; the request must have been read completely. */
    static void start(HttpServerExchange exchange, Runnable onDisconnect) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            CallerDisconnectDetector detector =
                    new CallerDisconnectDetector(connection, onDisconnect);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(channel -> detector.readable());
            detector.socket.resumeReads();
        }
    }

    private void readable() {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        int count;
        try {
            count = socket.read(pooled.getBuffer());
        } catch (IOException e) {
            count = -1;
        }
        if (count > 0) {
            socket.suspendReads();
            pooled.getBuffer().flip();
            connection.ungetRequestBytes(pooled);
            return;
        }
        pooled.close();
        if (count < 0) {
            socket.suspendReads();
            onDisconnect.run();
        }
    }
}
