package org.snipeslip.server.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a small response as text. Bytes that are not UTF-8 become U+FFFD each, and
 * never take the following characters with them.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    private final ByteBufferPool buffers;
    private final Consumer<String> done;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    BodyReader(ByteBufferPool buffers, Consumer<String> done, Consumer<IOException> failed) {
        this.buffers = buffers;
        this.done = done;
        this.failed = failed;
    }

    int receivedBytes() {
        return bytes.size();
    }

    /** Reads what has arrived, and the rest when it arrives. */
    void start(StreamSourceChannel channel) {
        if (!read(channel)) {
            channel.getReadSetter().set(this);
            channel.resumeReads();
        }
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        if (read(channel)) {
            channel.suspendReads();
        }
    }

    /** Returns whether reading has ended. */
    private boolean read(StreamSourceChannel channel) {
        String text;
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count;
            while ((count = channel.read(buffer)) > 0) {
                buffer.flip();
                append(buffer);
                buffer.clear();
            }
            if (count == 0) {
                return false;
            }
            text = bytes.toString(StandardCharsets.UTF_8);
            bytes.reset();
        } catch (IOException e) {
            IoUtils.safeClose(channel);
            failed.accept(e);
            return true;
        }
        done.accept(text);
        return true;
    }

    private void append(ByteBuffer buffer) {
        byte[] part = new byte[buffer.remaining()];
        buffer.get(part);
        bytes.writeBytes(part);
    }
}
