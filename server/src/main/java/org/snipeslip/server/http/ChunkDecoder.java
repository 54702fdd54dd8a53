package org.snipeslip.server.http;

import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Decodes a chunked body by the letter of RFC 9112 section 7.1. Undertow's own decoder takes an
 * empty chunk size for the last chunk and skips bytes after a chunk, so a proxy before this
 * instance could see another end of the request.
 */
final class ChunkDecoder {
    private static final int MAX_SIZE_DIGITS = 15;
    private static final int MAX_EXTENSION_BYTES = 1_024;
    private static final int MAX_TRAILER_BYTES = 8_192;

    private final long maxBodyBytes;
    private State state = State.SIZE;
    private long chunkBytes;
    private int digits;
    private int lineBytes;
    private int trailerBytes;
    private long bodyBytes;

    ChunkDecoder(long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    boolean isEnded() {
        return state == State.END;
    }

    /** Moves body bytes from the coded to the plain buffer, until one of them has no more room. */
    void decode(ByteBuffer coded, ByteBuffer plain) throws IOException {
        while (coded.hasRemaining() && state != State.END) {
            if (state != State.DATA) {
                step(coded.get() & 0xff);
            } else if (plain.hasRemaining()) {
                copy(coded, plain);
            } else {
                return;
            }
        }
    }

    private void copy(ByteBuffer coded, ByteBuffer plain) {
        int count = (int) Math.min(chunkBytes, Math.min(coded.remaining(), plain.remaining()));
        plain.put(coded.slice(coded.position(), count));
        coded.position(coded.position() + count);
        chunkBytes -= count;
        if (chunkBytes == 0) {
            state = State.DATA_CR;
        }
    }

    private void step(int b) throws IOException {
        switch (state) {
            case SIZE -> size(b);
            case EXTENSION -> line(b, State.SIZE_LF, MAX_EXTENSION_BYTES);
            case SIZE_LF -> {
                require(b == '\n');
                startChunk();
            }
            case DATA_CR -> {
                require(b == '\r');
                state = State.DATA_LF;
            }
            case DATA_LF -> {
                require(b == '\n');
                state = State.SIZE;
                digits = 0;
            }
            case TRAILER_START -> trailerStart(b);
            case TRAILER -> {
                require(++trailerBytes <= MAX_TRAILER_BYTES);
                line(b, State.TRAILER_LF, MAX_TRAILER_BYTES);
            }
            case TRAILER_LF -> {
                require(b == '\n');
                state = State.TRAILER_START;
            }
            case LAST_LF -> {
                require(b == '\n');
                state = State.END;
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void size(int b) throws IOException {
        int digit = Character.digit(b, 16);
        if (digit >= 0 && b < 0x80) {
            chunkBytes = digits == 0 ? digit : chunkBytes * 16 + digit;
            require(++digits <= MAX_SIZE_DIGITS);
            return;
        }
        require(digits > 0 && (b == '\r' || b == ';'));
        state = b == '\r' ? State.SIZE_LF : State.EXTENSION;
        lineBytes = 0;
    }

    private void startChunk() throws IOException {
        state = chunkBytes == 0 ? State.TRAILER_START : State.DATA;
        bodyBytes += chunkBytes;
        if (bodyBytes > maxBodyBytes) {
            throw new RequestTooBigException("the body exceeds " + maxBodyBytes + " bytes");
        }
    }

    private void trailerStart(int b) throws IOException {
        if (b == '\r') {
            state = State.LAST_LF;
        } else {
            require(b > ' ');
            state = State.TRAILER;
            lineBytes = 0;
        }
    }

    /** Skips a byte of a chunk extension or trailer, which are both dropped. */
    private void line(int b, State after, int maxBytes) throws IOException {
        if (b == '\r') {
            state = after;
            return;
        }
        require((b >= ' ' || b == '\t') && ++lineBytes <= maxBytes);
    }

    private static void require(boolean valid) throws MalformedBodyException {
        if (!valid) {
            throw new MalformedBodyException();
        }
    }

    /** Position in the grammar. */
    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER_START,
        TRAILER,
        TRAILER_LF,
        LAST_LF,
        END
    }

    /** The chunks do not follow the grammar, so the end of the request is unknown. */
    static final class MalformedBodyException extends IOException {
        MalformedBodyException() {
            super("malformed chunk");
        }
    }
}
