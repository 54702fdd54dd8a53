package org.snipeslip.server.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closed its connection while its call is open. Undertow does not read from
 * the connection between a request and its response, so this reads from the socket itself and hands
 * the bytes of a pipelined request back. Undertow sets its own listener again when the exchange
 * ends.
 */
final class CallerWatch {
    private final HttpServerConnection connection;
    private final StreamSourceConduit socket;
    private final Runnable onGone;

    private CallerWatch(HttpServerConnection connection, Runnable onGone) {
        this.connection = connection;
        this.socket = connection.getOriginalSourceConduit();
        this.onGone = onGone;
    }

    /** Starts to watch; the body of the request must have been read whole. */
    static void start(HttpServerExchange exchange, Runnable onGone) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            CallerWatch watch = new CallerWatch(connection, onGone);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(channel -> watch.readable());
            watch.socket.resumeReads();
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
            onGone.run();
        }
    }
}
