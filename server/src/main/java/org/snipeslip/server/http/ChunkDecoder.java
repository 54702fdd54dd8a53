package org.snipeslip.server.http;

import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Decodes the chunked body of a request or a response in strict conformance with RFC 9112 section
 * 7.1. Undertow's own decoder treats an empty chunk size as the last chunk and skips bytes after a
 * chunk, so it finds an end where another recipient finds none.
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

    /** Decodes until the input is empty, the output buffer is full or the body has ended. */
    void decode(ByteBuffer encoded, ByteBuffer decoded) throws IOException {
        while (encoded.hasRemaining() && state != State.END) {
            if (state != State.DATA) {
                decodeFramingByte(encoded.get() & 0xff);
            } else if (decoded.hasRemaining()) {
                copy(encoded, decoded);
            } else {
                return;
            }
        }
    }

    /** Checks the framing until the input is empty or the body has ended; keeps no data. */
    void skip(ByteBuffer encoded) throws IOException {
        while (encoded.hasRemaining() && state != State.END) {
            if (state == State.DATA) {
                advance(encoded, (int) Math.min(chunkBytes, encoded.remaining()));
            } else {
                decodeFramingByte(encoded.get() & 0xff);
            }
        }
    }

    private void copy(ByteBuffer encoded, ByteBuffer decoded) {
        int count = (int) Math.min(chunkBytes, Math.min(encoded.remaining(), decoded.remaining()));
        decoded.put(encoded.slice(encoded.position(), count));
        advance(encoded, count);
    }

    private void advance(ByteBuffer encoded, int count) {
        encoded.position(encoded.position() + count);
        chunkBytes -= count;
        if (chunkBytes == 0) {
            state = State.DATA_CR;
        }
    }

    private void decodeFramingByte(int b) throws IOException {
        switch (state) {
            case SIZE -> decodeSizeByte(b);
            case EXTENSION -> skipLineByte(b, State.SIZE_LF, MAX_EXTENSION_BYTES);
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
            case TRAILER_START -> decodeTrailerStart(b);
            case TRAILER -> {
                require(++trailerBytes <= MAX_TRAILER_BYTES);
                skipLineByte(b, State.TRAILER_LF, MAX_TRAILER_BYTES);
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

    private void decodeSizeByte(int b) throws IOException {
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
            throw new RequestTooBigException(
                    "request body exceeds the limit of " + maxBodyBytes + " bytes");
        }
    }

    private void decodeTrailerStart(int b) throws IOException {
        if (b == '\r') {
            state = State.LAST_LF;
        } else {
            require(b > ' ');
            state = State.TRAILER;
            lineBytes = 0;
        }
    }

    /** Skips a byte of a chunk extension or trailer; both are discarded. */
    private void skipLineByte(int b, State next, int maxBytes) throws IOException {
        if (b == '\r') {
            state = next;
            return;
        }
        require((b >= ' ' || b == '\t') && ++lineBytes <= maxBytes);
    }

    private static void require(boolean valid) throws MalformedBodyException {
        if (!valid) {
            throw new MalformedBodyException();
        }
    }

    /** The element of the chunked coding that is expected next. */
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

    /** The chunked coding is malformed, so the end of the body is unknown. */
    static final class MalformedBodyException extends IOException {
        MalformedBodyException() {
            super("malformed chunked coding");
        }
    }
}
