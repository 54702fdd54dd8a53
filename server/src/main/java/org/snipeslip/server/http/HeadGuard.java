package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Looks at the bytes of request heads for obsolete line folding, which Undertow's parser joins
 * without a trace. A proxy before this instance could read a folded line as a field of its own.
 * Bytes after a head are not looked at until {@link #restart}.
 */
final class HeadGuard extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private boolean inHead = true;
    private boolean lineSeen;
    private boolean folded;
    private int lineBytes;

    HeadGuard(StreamSourceConduit next) {
        super(next);
    }

    /** Tells whether the head that was read last has a folded line. */
    boolean isFolded() {
        return folded;
    }

    /**
     * Expects a new head.
     *
     * @param read bytes of it that were read together with the last request, or null
     */
    void restart(ByteBuffer read) {
        inHead = true;
        lineSeen = false;
        folded = false;
        lineBytes = 0;
        if (read != null) {
            scan(read, read.position(), read.limit());
        }
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        int start = dst.position();
        int count = super.read(dst);
        if (inHead && count > 0) {
            scan(dst, start, start + count);
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] dsts, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (dsts[i].hasRemaining()) {
                return read(dsts[i]);
            }
        }
        return 0;
    }

    private void scan(ByteBuffer bytes, int from, int to) {
        for (int i = from; i < to && inHead; i++) {
            byte b = bytes.get(i);
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                folded |= lineBytes == 0 && lineSeen && (b == ' ' || b == '\t');
                lineBytes++;
            }
        }
    }

    /** Empty lines before the request line are allowed (RFC 9112 section 2.2). */
    private void endLine() {
        inHead = lineBytes > 0 || !lineSeen;
        lineSeen |= lineBytes > 0;
        lineBytes = 0;
    }
}
