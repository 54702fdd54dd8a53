package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Tells the reader of a connection that a write has failed. A socket reports a reset once, to
 * whichever operation comes first; after a write has got it, a read finds a regular end of the
 * stream, which is the end of a response without a length. All methods run on the I/O thread of the
 * connection.
 */
final class RequestConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final ResponseConduit responses;

    /**
     * Creates a conduit.
     *
     * @param next writes to the connection
     * @param responses reads from the connection
     */
    RequestConduit(StreamSinkConduit next, ResponseConduit responses) {
        super(next);
        this.responses = responses;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return (int) watch(() -> super.write(source));
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        return watch(() -> super.write(sources, offset, length));
    }

    @Override
    public int writeFinal(ByteBuffer source) throws IOException {
        return (int) watch(() -> super.writeFinal(source));
    }

    @Override
    public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return watch(() -> super.writeFinal(sources, offset, length));
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) throws IOException {
        return watch(() -> super.transferFrom(source, position, count));
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer)
            throws IOException {
        return watch(() -> super.transferFrom(source, count, throughBuffer));
    }

    @Override
    public boolean flush() throws IOException {
        return watch(() -> super.flush() ? 1 : 0) > 0;
    }

    private long watch(Write write) throws IOException {
        try {
            return write.run();
        } catch (IOException e) {
            responses.writeFailed(e);
            throw e;
        }
    }

    /** Writes to the connection; returns what the operation returns. */
    private interface Write {
        long run() throws IOException;
    }
}
