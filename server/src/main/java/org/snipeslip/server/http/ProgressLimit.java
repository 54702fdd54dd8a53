package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails a connection whose bytes bring no progress: a response head, chunk line or trailer without
 * an end. The HTTP parser of Undertow's client does not bound them. All methods run on the I/O
 * thread of the connection.
 */
final class ProgressLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final long maxBytes;
    private long bytesSinceProgress;

    /**
     * Creates a limit.
     *
     * @param next reads from the connection
     * @param maxBytes most bytes that may be read without {@link #progress}
     */
    ProgressLimit(StreamSourceConduit next, long maxBytes) {
        super(next);
        this.maxBytes = maxBytes;
    }

    /** A request was sent, or a head or a part of a body was received. */
    void progress() {
        bytesSinceProgress = 0;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) count(super.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return count(super.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return count(super.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return count(super.transferTo(count, throughBuffer, target));
    }

    private long count(long read) throws IOException {
        if (read > 0) {
            bytesSinceProgress += read;
            if (bytesSinceProgress > maxBytes) {
                throw new IOException(
                        "more than " + maxBytes + " bytes without the end of a head or a chunk");
            }
        }
        return read;
    }
}
