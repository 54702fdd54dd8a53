package org.snipeslip.server.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import org.xnio.conduits.StreamSourceConduit;

/** A caller's chunked body, read from the connection and decoded with {@link ChunkDecoder}. */
final class ChunkedRequestBody implements BodySource {
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final StreamSourceConduit socket;
    private final ChunkDecoder decoder;
    private PooledByteBuffer encoded;
    private boolean ended;

    /** Whether the body was read to its end; the reads of the connection then serve others. */
    private boolean finished;

    ChunkedRequestBody(HttpServerExchange exchange, long maxBodyBytes) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.socket = connection.getOriginalSourceConduit();
        this.decoder = new ChunkDecoder(maxBodyBytes);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (ended) {
            return -1;
        }
        if (encoded == null) {
            encoded = takeBytesReadWithHead();
        }
        int start = into.position();
        ByteBuffer bytes = encoded.getBuffer();
        do {
            decoder.decode(bytes, into);
            if (decoder.isEnded()) {
                finishRequest();
                return into.position() > start ? into.position() - start : -1;
            }
            if (!into.hasRemaining()) {
                break;
            }
        } while (readFromSocket(bytes));
        return into.position() - start;
    }

    @Override
    public void onReadable(Runnable task) {
        if (!finished) {
            connection.getChannel().getSourceChannel().setReadListener(channel -> task.run());
        }
    }

    @Override
    public void resume() {
        if (!finished) {
            socket.resumeReads();
        }
    }

    @Override
    public void suspend() {
        if (!finished) {
            socket.suspendReads();
        }
    }

    /** Returns the buffer to its pool if the body was not read completely. */
    void release() {
        if (encoded != null) {
            encoded.close();
            encoded = null;
            ended = true;
        }
    }

    /** Takes over the part of the body that Undertow may have read together with the head. */
    private PooledByteBuffer takeBytesReadWithHead() {
        PooledByteBuffer extra = connection.getExtraBytes();
        if (extra != null) {
            connection.setExtraBytes(null);
            return extra;
        }
        PooledByteBuffer empty = connection.getByteBufferPool().allocate();
        empty.getBuffer().clear().flip();
        return empty;
    }

    private boolean readFromSocket(ByteBuffer bytes) throws IOException {
        bytes.clear();
        int count = 0;
        try {
            count = socket.read(bytes);
        } finally {
            bytes.flip();
        }
        if (count < 0) {
            throw new ClosedChannelException();
        }
        return count > 0;
    }

    private void finishRequest() {
        ended = true;
        finished = true;
        socket.suspendReads();
        if (encoded.getBuffer().hasRemaining()) {
            connection.ungetRequestBytes(encoded);
        } else {
            encoded.close();
        }
        encoded = null;
        Connectors.terminateRequest(exchange);
    }
}
