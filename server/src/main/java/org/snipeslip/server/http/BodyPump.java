package org.snipeslip.server.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams a body from one channel to another through one pooled buffer. It reads only when the
 * buffer is empty, so that a slow receiver applies back pressure to the sender. Runs on the I/O
 * thread, which both channels share with other connections; it therefore returns to the selector
 * after a limited number of bytes, also if more could be read and written.
 */
final class BodyPump {
    /** Bytes that are passed on before other connections and timers have their turn. */
    private static final int MAX_BYTES_PER_TURN = 64 * 1024;

    private final BodySource source;
    private final StreamSinkChannel sink;
    private final Listener listener;
    private final PooledByteBuffer pooled;
    private final ByteBuffer buffer;
    private boolean sourceEnded;
    private boolean ended;
    private int bytesThisTurn;

    BodyPump(BodySource source, StreamSinkChannel sink, ByteBufferPool buffers, Listener listener) {
        this.source = source;
        this.sink = sink;
        this.listener = listener;
        this.pooled = buffers.allocate();
        this.buffer = pooled.getBuffer();
        buffer.clear().flip();
    }

    /** Creates a pump for a body that is already in memory. */
    BodyPump(ByteBuffer bytes, StreamSinkChannel sink, Listener listener) {
        this.source = null;
        this.sink = sink;
        this.listener = listener;
        this.pooled = null;
        this.buffer = bytes;
        this.sourceEnded = true;
    }

    void start() {
        if (source != null) {
            source.onReadable(this::run);
        }
        sink.getWriteSetter().set(channel -> run());
        run();
    }

    /** Stops without notifying the listener. The channels stay open; the caller closes them. */
    void stop() {
        if (markEnded()) {
            if (source != null) {
                source.suspend();
            }
            sink.suspendWrites();
        }
    }

    private void run() {
        bytesThisTurn = 0;
        while (!ended) {
            if (bytesThisTurn >= MAX_BYTES_PER_TURN) {
                awaitWritable();
                return;
            }
            if (buffer.hasRemaining() ? !write() : sourceEnded ? !finishSink() : !read()) {
                return;
            }
        }
    }

    /** Reads once; returns false if the pump must wait or has ended. */
    private boolean read() {
        int count;
        try {
            buffer.clear();
            count = source.read(buffer);
            buffer.flip();
        } catch (IOException e) {
            fail(listener::sourceFailed, e);
            return false;
        }
        if (ended) {
            return false;
        }
        if (count == 0) {
            buffer.clear().flip();
            sink.suspendWrites();
            source.resume();
            return false;
        }
        if (count < 0) {
            buffer.clear().flip();
            sourceEnded = true;
            listener.sourceEnded();
        } else {
            bytesThisTurn += count;
            listener.beforeWrite(buffer);
        }
        return !ended;
    }

    private boolean write() {
        try {
            while (buffer.hasRemaining()) {
                int count = sink.write(buffer);
                if (count == 0) {
                    listener.sinkBlocked();
                    awaitWritable();
                    return false;
                }
                listener.sinkTook(count);
            }
            return true;
        } catch (IOException e) {
            fail(listener::sinkFailed, e);
            return false;
        }
    }

    private boolean finishSink() {
        try {
            sink.shutdownWrites();
            if (!sink.flush()) {
                listener.sinkBlocked();
                awaitWritable();
                return false;
            }
        } catch (IOException e) {
            fail(listener::sinkFailed, e);
            return false;
        }
        if (markEnded()) {
            listener.completed();
        }
        return false;
    }

    /** Runs again when the selector reports that the sink takes bytes. */
    private void awaitWritable() {
        if (source != null && !sourceEnded) {
            source.suspend();
        }
        sink.resumeWrites();
    }

    private void fail(java.util.function.Consumer<IOException> handler, IOException e) {
        if (markEnded()) {
            handler.accept(e);
        }
    }

    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        if (pooled != null) {
            pooled.close();
        }
        return true;
    }

    /**
     * Receives the progress of a pump. At most one of {@link #completed}, {@link #sourceFailed} and
     * {@link #sinkFailed} is called, and only once.
     */
    interface Listener {
        /** Called before bytes are written; must not change the buffer's position. */
        default void beforeWrite(ByteBuffer bytes) {}

        /** Called when the sink takes no bytes for now. */
        default void sinkBlocked() {}

        /** Called when the sink has taken bytes. */
        default void sinkTook(int bytes) {}

        /** Called when the source has been read to its end. */
        default void sourceEnded() {}

        void completed();

        void sourceFailed(IOException e);

        void sinkFailed(IOException e);
    }
}
