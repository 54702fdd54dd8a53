package org.snipeslip.server.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import org.xnio.channels.StreamSinkChannel;

/**
 * The body of a call's request. A small body of known length is buffered completely before the
 * first try, so that further tries can send it again; any other body is streamed and can be sent
 * only once. Nothing is read before the first try calls {@link #prepare}.
 */
final class RequestBody {
    private final HttpServerExchange exchange;
    private final BodyMemoryBudget memoryBudget;
    private final boolean present;
    private final long maxBodyBytes;
    private final int bufferedBytes;
    private final List<Listener> waitingListeners = new ArrayList<>(1);
    private ByteBuffer buffered;
    private ChunkedRequestBody chunked;
    private boolean bufferingStarted;

    /** Digest of a body that is streamed, because its bytes are gone when it is needed. */
    private MessageDigest streamDigest;

    private boolean streamedWhole;
    private boolean streamed;
    private boolean released;
    private RequestFault fault;

    RequestBody(HttpServerExchange exchange, BodyMemoryBudget memoryBudget, long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.exchange = exchange;
        this.memoryBudget = memoryBudget;
        this.present = !exchange.isRequestComplete();
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        boolean buffer =
                present && length != null && memoryBudget.tryReserve(Long.parseLong(length));
        this.bufferedBytes = buffer ? Integer.parseInt(length) : 0;
    }

    boolean isPresent() {
        return present;
    }

    /** Returns whether more than one try can send the body. */
    boolean isReplayable() {
        return !present || bufferedBytes > 0;
    }

    /** Returns why the caller's body was rejected, or null. */
    RequestFault fault() {
        return fault;
    }

    /** Calls the listener when the body is ready to be sent by another try, or cannot be sent. */
    void prepare(Listener listener) {
        if (HttpContinue.requiresContinueResponse(exchange)
                && !HttpContinue.isContinueResponseSent(exchange)) {
            sendContinue(listener);
        } else {
            prepareAfterContinue(listener);
        }
    }

    /** Sends 100 Continue to a caller that waits for it before it sends the body. */
    private void sendContinue(Listener listener) {
        HttpContinue.sendContinueResponse(
                exchange,
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        prepareAfterContinue(listener);
                    }

                    @Override
                    public void onException(HttpServerExchange done, Sender sender, IOException e) {
                        listener.failed();
                    }
                });
    }

    private void prepareAfterContinue(Listener listener) {
        if (bufferedBytes > 0 && buffered == null) {
            waitingListeners.add(listener);
            bufferWhole();
        } else if (present && bufferedBytes == 0 && streamed) {
            listener.alreadyStreamed();
        } else {
            listener.ready();
        }
    }

    /** Returns a pump that sends the body; {@link #prepare} must have reported it ready. */
    BodyPump pump(StreamSinkChannel sink, BodyPump.Listener listener) {
        if (bufferedBytes > 0) {
            return new BodyPump(buffered.duplicate(), sink, listener);
        }
        streamed = true;
        streamDigest = HttpRequestIdentity.newDigest();
        return new BodyPump(source(), sink, exchange.getConnection().getByteBufferPool(), listener);
    }

    private BodySource source() {
        if (!exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            return BodySource.of(exchange.getRequestChannel());
        }
        chunked = new ChunkedRequestBody(exchange, maxBodyBytes);
        return chunked;
    }

    /** Called with each part of a streamed body before it is sent. */
    void recordStreamed(ByteBuffer bytes) {
        if (streamDigest != null) {
            streamDigest.update(bytes.duplicate());
        }
    }

    /** Called when a streamed body has been read to its end. */
    void recordStreamEnd() {
        streamedWhole = true;
    }

    /** Returns the digest of the body, or null if it has not been read to its end. */
    byte[] digest() {
        if (!present || bufferedBytes > 0) {
            MessageDigest digest = HttpRequestIdentity.newDigest();
            if (present && buffered == null) {
                return null;
            }
            if (present) {
                digest.update(buffered.duplicate());
            }
            return digest.digest();
        }
        if (streamDigest == null || !streamedWhole) {
            return null;
        }
        try {
            return ((MessageDigest) streamDigest.clone()).digest();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the digest of a body cannot be copied", e);
        }
    }

    void recordFault(IOException e) {
        if (e instanceof RequestTooBigException) {
            fault = RequestFault.BODY_TOO_LARGE;
        } else if (e instanceof ChunkDecoder.MalformedBodyException) {
            fault = RequestFault.MALFORMED_BODY;
        }
    }

    void release() {
        if (chunked != null) {
            chunked.release();
        }
        if (bufferedBytes > 0 && !released) {
            released = true;
            buffered = null;
            memoryBudget.release(bufferedBytes);
        }
    }

    private void bufferWhole() {
        if (bufferingStarted) {
            return;
        }
        bufferingStarted = true;
        ByteBuffer into = ByteBuffer.allocate(bufferedBytes);
        BodySource source = BodySource.of(exchange.getRequestChannel());
        source.onReadable(() -> readAvailable(source, into));
        readAvailable(source, into);
    }

    private void readAvailable(BodySource source, ByteBuffer into) {
        try {
            int count;
            do {
                // At the declared length, one more read returns -1, which confirms the end of the
                // body.
                count = source.read(into.hasRemaining() ? into : ByteBuffer.allocate(1));
            } while (count > 0);
            if (count == 0) {
                source.resume();
                return;
            }
            buffered = into.flip();
        } catch (IOException e) {
            recordFault(e);
        }
        List<Listener> listeners = List.copyOf(waitingListeners);
        waitingListeners.clear();
        listeners.forEach(buffered == null ? Listener::failed : Listener::ready);
    }

    /** Receives the outcome of {@link #prepare}. */
    interface Listener {
        void ready();

        /** The caller disconnected or sent a malformed body. */
        void failed();

        /** An earlier try already streamed the body, so it cannot be sent again. */
        void alreadyStreamed();
    }
}
