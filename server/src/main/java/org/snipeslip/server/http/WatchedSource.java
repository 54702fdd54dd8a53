package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A caller's body that reports when it waits for the caller. */
final class WatchedSource implements BodySource {
    private final BodySource next;
    private final CallerChannel channel;

    WatchedSource(BodySource next, CallerChannel channel) {
        this.next = next;
        this.channel = channel;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        int count = next.read(into);
        if (count == 0) {
            channel.waitForCaller();
        } else {
            channel.progressed(Math.max(0, count));
        }
        return count;
    }

    @Override
    public void onReadable(Runnable task) {
        next.onReadable(task);
    }

    @Override
    public void resume() {
        next.resume();
    }

    @Override
    public void suspend() {
        next.suspend();
    }
}
