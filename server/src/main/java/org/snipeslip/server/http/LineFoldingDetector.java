package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Scans request heads for obsolete line folding, which Undertow's parser joins without any
 * indication, and reports what they cost. A proxy in front of this instance could interpret a
 * folded line as a separate field. Bytes after a head are not scanned until {@link #startHead} is
 * called.
 */
final class LineFoldingDetector extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Bytes of a field or a query parameter in memory beside its text, which is kept twice. */
    private static final int FIELD_BYTES = 300;

    private static final int TEXT_COPIES = 2;

    private final CallerChannel channel;
    private boolean inHead = true;
    private boolean headStarted = true;
    private boolean requestLineSeen;
    private boolean folded;
    private int lineBytes;

    LineFoldingDetector(StreamSourceConduit next, CallerChannel channel) {
        super(next);
        this.channel = channel;
    }

    /** Returns what the connection costs. */
    CallerChannel channel() {
        return channel;
    }

    /** Returns whether the most recent head contains a folded line. */
    boolean isFolded() {
        return folded;
    }

    /**
     * Starts to scan a new head.
     *
     * @param alreadyRead bytes of the head that were read together with the previous request, or
     *     null
     */
    void startHead(ByteBuffer alreadyRead) {
        inHead = true;
        headStarted = false;
        channel.requestEnded();
        requestLineSeen = false;
        folded = false;
        lineBytes = 0;
        if (alreadyRead != null) {
            scan(alreadyRead, alreadyRead.position(), alreadyRead.limit());
        }
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        if (inHead && !channel.budget().hasRoomForHeads()) {
            return 0;
        }
        int start = dst.position();
        int count = super.read(dst);
        if (count > 0) {
            channel.bytesRead();
        }
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
        if (!headStarted && from < to) {
            headStarted = true;
            channel.headStarted();
        }
        int fields = 0;
        int i;
        for (i = from; i < to && inHead; i++) {
            byte b = bytes.get(i);
            if (b == '\n') {
                fields++;
                endLine();
            } else if (b != '\r') {
                folded |= lineBytes == 0 && requestLineSeen && (b == ' ' || b == '\t');
                fields += b == '&' && !requestLineSeen ? 1 : 0;
                lineBytes++;
            }
        }
        if (i > from) {
            channel.headRead((long) TEXT_COPIES * (i - from) + (long) FIELD_BYTES * fields);
        }
        if (!inHead) {
            channel.headEnded();
        }
    }

    /** Empty lines before the request line are allowed (RFC 9112 section 2.2). */
    private void endLine() {
        inHead = lineBytes > 0 || !requestLineSeen;
        requestLineSeen |= lineBytes > 0;
        lineBytes = 0;
    }
}
