package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A body of which a part has been read already. */
final class PrefixedSource implements BodySource {
    private final ByteBuffer prefix;
    private final BodySource rest;

    PrefixedSource(ByteBuffer prefix, BodySource rest) {
        this.prefix = prefix;
        this.rest = rest;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (!prefix.hasRemaining()) {
            return rest.read(into);
        }
        int count = Math.min(prefix.remaining(), into.remaining());
        into.put(into.position(), prefix, prefix.position(), count);
        into.position(into.position() + count);
        prefix.position(prefix.position() + count);
        return count;
    }

    @Override
    public void onReadable(Runnable task) {
        rest.onReadable(task);
    }

    @Override
    public void resume() {
        rest.resume();
    }

    @Override
    public void suspend() {
        rest.suspend();
    }
}
