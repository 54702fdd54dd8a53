package org.snipeslip.server.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams a body from one channel to another through one pooled buffer. It reads only when the
 * buffer is empty, so a slow receiver slows the sender. Runs on the I/O thread of both channels.
 */
final class BodyPump {
    private final BodySource source;
    private final StreamSinkChannel sink;
    private final Listener listener;
    private final PooledByteBuffer pooled;
    private final ByteBuffer buffer;
    private boolean sourceEnded;
    private boolean ended;

    BodyPump(BodySource source, StreamSinkChannel sink, ByteBufferPool buffers, Listener listener) {
        this.source = source;
        this.sink = sink;
        this.listener = listener;
        this.pooled = buffers.allocate();
        this.buffer = pooled.getBuffer();
        buffer.clear().flip();
    }

    /** Creates a pump of bytes that are already in memory. */
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

    /** Stops without a call of the listener; the channels are the caller's to close. */
    void stop() {
        if (end()) {
            if (source != null) {
                source.suspend();
            }
            sink.suspendWrites();
        }
    }

    private void run() {
        while (!ended) {
            if (buffer.hasRemaining() ? !write() : sourceEnded ? !finish() : !read()) {
                return;
            }
        }
    }

    /** Reads once; false if the pump must wait or has ended. */
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
            listener.passed(buffer);
        }
        return !ended;
    }

    private boolean write() {
        try {
            while (buffer.hasRemaining()) {
                if (sink.write(buffer) == 0) {
                    return await();
                }
            }
            return true;
        } catch (IOException e) {
            fail(listener::sinkFailed, e);
            return false;
        }
    }

    private boolean finish() {
        try {
            sink.shutdownWrites();
            if (!sink.flush()) {
                return await();
            }
        } catch (IOException e) {
            fail(listener::sinkFailed, e);
            return false;
        }
        if (end()) {
            listener.completed();
        }
        return false;
    }

    private boolean await() {
        if (source != null && !sourceEnded) {
            source.suspend();
        }
        sink.resumeWrites();
        return false;
    }

    private void fail(java.util.function.Consumer<IOException> handler, IOException e) {
        if (end()) {
            handler.accept(e);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (pooled != null) {
            pooled.close();
        }
        return true;
    }

    /** Takes the progress of a pump; at most one of the last three methods is called, once. */
    interface Listener {
        /** Bytes are about to be written; the buffer's position must not change. */
        default void passed(ByteBuffer bytes) {}

        /** The source gave its last byte. */
        default void sourceEnded() {}

        void completed();

        void sourceFailed(IOException e);

        void sinkFailed(IOException e);
    }
}
