package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Gives the bytes of a body without blocking. Used on one I/O thread. */
interface BodySource {
    /** Reads bytes; 0 if none is there yet, -1 after the last. */
    int read(ByteBuffer into) throws IOException;

    /** Sets what runs when bytes may be there. */
    void onReadable(Runnable task);

    void resume();

    void suspend();

    /** The body of a channel that Undertow frames. */
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
