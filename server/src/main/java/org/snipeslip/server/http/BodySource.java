package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Non-blocking source of the bytes of a body. Used on one I/O thread only. */
interface BodySource {
    /** Reads bytes; returns 0 if none is available yet, -1 at the end of the body. */
    int read(ByteBuffer into) throws IOException;

    /** Sets the task that runs when bytes may be available. */
    void onReadable(Runnable task);

    void resume();

    void suspend();

    /** Returns the body of a channel whose framing Undertow decodes. */
    static BodySource of(StreamSourceChannel channel) {
        return new BodySource() {
            @Override
            public int read(ByteBuffer into) throws IOException {
                return channel.read(into);
            }

            @Override
            public void onReadable(Runnable task) {
                channel.getReadSetter().set(readable -> task.run());
            }

            @Override
            public void resume() {
                channel.resumeReads();
            }

            @Override
            public void suspend() {
                channel.suspendReads();
            }
        };
    }
}
