package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Checks the bytes of responses below the parser of Undertow's client. Its chunk reader accepts
 * malformed chunks and may find the end of a body in them, it keeps heads of any length, and it
 * appends a line that begins with a blank to the value before it, so that the field in that line
 * disappears from the head. All methods run on the I/O thread of the connection.
 *
 * <p>A head is passed on line by line. The parser therefore never reads bytes of the body together
 * with the head, and every byte of a chunked body passes through {@link ChunkDecoder} first.
 */
final class ResponseConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Most bytes of a head, with the interim responses before it. */
    private static final int MAX_HEAD_BYTES = 32 * 1024;

    /** A field takes about 200 bytes of memory beside its text. */
    private static final int MAX_HEAD_LINES = 200;

    private final ProgressLimit limit;
    private ByteBuffer heldBack;
    private ChunkDecoder chunks;
    private boolean inHead;
    private boolean malformed;

    /** Why a write to the connection has failed, or null. */
    private IOException writeFailure;

    private int headBytes;
    private int headLines;

    /** Whether the line that is being read has no bytes but carriage returns yet. */
    private boolean lineEmpty = true;

    /** Whether a line of the head begins with a blank. */
    private boolean folded;

    /** Whether the last byte of a head that was passed on ended a line. */
    private boolean lineEnded;

    /** Whether the last byte of a head that was passed on ended an empty line. */
    private boolean atEmptyLine;

    /**
     * Creates a conduit.
     *
     * @param limit reads from the connection
     */
    ResponseConduit(ProgressLimit limit) {
        super(limit);
        this.limit = limit;
    }

    /** A request was sent, so that the next byte begins the head of a response. */
    void requestSent() {
        limit.progress();
        inHead = true;
        lineEmpty = true;
        folded = false;
        chunks = null;
        malformed = false;
        headBytes = 0;
        headLines = 0;
    }

    /**
     * A write to the connection has failed, so that its end may be that of a reset.
     *
     * @param cause failure of the write
     */
    void writeFailed(IOException cause) {
        writeFailure = cause;
    }

    /**
     * The parser has read the head of the final response.
     *
     * @param chunkedBody whether a body in the chunked coding follows
     * @throws IOException if the parser has ended the head elsewhere than after an empty line
     */
    void headReceived(boolean chunkedBody) throws IOException {
        inHead = false;
        chunks = chunkedBody ? new ChunkDecoder(Long.MAX_VALUE) : null;
        if (!atEmptyLine) {
            throw new IOException("the head of a response does not end with an empty line");
        }
    }

    /** A part of a body was received. */
    void bodyReceived() {
        limit.progress();
    }

    /** Returns whether the last response has too long a head or breaks the rules of its coding. */
    boolean isMalformed() {
        return malformed;
    }

    /** Returns whether bytes were received that nobody has read. */
    boolean holdsBytes() {
        return heldBack != null;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = heldBack == null ? readFromConnection(target) : readHeldBack(target);
        if (count > 0 && inHead) {
            checkHead(count);
        } else if (count > 0 && chunks != null) {
            checkChunks(target.slice(start, count));
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    /** Announces held back bytes, because the selector knows only those in the socket. */
    @Override
    public void resumeReads() {
        if (heldBack == null) {
            super.resumeReads();
        } else {
            super.wakeupReads();
        }
    }

    private void checkHead(int count) throws IOException {
        if (folded) {
            malformed = true;
            throw new MalformedResponseException(
                    "a line of the head of a response begins with a blank");
        }
        headBytes += count;
        headLines += lineEnded ? 1 : 0;
        if (headBytes > MAX_HEAD_BYTES || headLines > MAX_HEAD_LINES) {
            malformed = true;
            throw new IOException(
                    "the head of a response exceeds "
                            + MAX_HEAD_BYTES
                            + " bytes or "
                            + MAX_HEAD_LINES
                            + " lines");
        }
    }

    private void checkChunks(ByteBuffer encoded) throws IOException {
        try {
            chunks.skip(encoded);
        } catch (ChunkDecoder.MalformedBodyException e) {
            // Undertow closes the connection before it passes the exception on.
            malformed = true;
            throw e;
        }
    }

    private int readFromConnection(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = super.read(target);
        if (count < 0 && writeFailure != null) {
            throw new IOException("the connection was lost while it was written", writeFailure);
        }
        if (count <= 0 || !inHead) {
            return count;
        }
        int end = endOfLine(target, start, target.position());
        int rest = target.position() - end;
        if (rest > 0) {
            heldBack = ByteBuffer.allocate(rest).put(target.slice(end, rest)).flip();
            target.position(end);
        }
        return end - start;
    }

    private int readHeldBack(ByteBuffer target) {
        int from = heldBack.position();
        int to = from + Math.min(heldBack.remaining(), target.remaining());
        int end = inHead ? endOfLine(heldBack, from, to) : to;
        target.put(heldBack.slice(from, end - from));
        heldBack.position(end);
        if (!heldBack.hasRemaining()) {
            heldBack = null;
        }
        return end - from;
    }

    /** Returns the index after the first line feed, or the last index if there is none. */
    private int endOfLine(ByteBuffer bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            byte b = bytes.get(i);
            if (b == '\n') {
                lineEnded = true;
                atEmptyLine = lineEmpty;
                lineEmpty = true;
                return i + 1;
            }
            folded |= lineEmpty && (b == ' ' || b == '\t');
            lineEmpty &= b == '\r';
        }
        lineEnded = false;
        atEmptyLine = false;
        return to;
    }
}
