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
    /** Bytes of a streamed body that are read ahead; longer ones are rare. */
    private static final int AHEAD_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final BodyMemoryBudget memoryBudget;
    private final CallerChannel channel;
    private final boolean present;
    private final long maxBodyBytes;
    private final int bufferedBytes;

    /** Length that the caller has declared, or -1. */
    private final long declaredBytes;

    private final List<Listener> waitingListeners = new ArrayList<>(1);
    private ByteBuffer buffered;
    private ChunkedRequestBody chunked;
    private BodySource source;
    private boolean bufferingStarted;

    /** The part of a streamed body that was read ahead, or null. */
    private ByteBuffer ahead;

    private boolean aheadWhole;

    /** Called when enough has been read ahead; null if that is not in progress. */
    private Listener aheadListener;

    /** Digest of a body that is streamed, because its bytes are gone when it is needed. */
    private MessageDigest streamDigest;

    private long streamedBytes;
    private boolean streamedWhole;
    private boolean streamed;
    private boolean released;
    private RequestFault fault;

    RequestBody(
            HttpServerExchange exchange,
            BodyMemoryBudget memoryBudget,
            CallerChannel channel,
            long maxBodyBytes) {
        this.channel = channel;
        this.maxBodyBytes = maxBodyBytes;
        this.exchange = exchange;
        this.memoryBudget = memoryBudget;
        this.present = !exchange.isRequestComplete();
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        this.declaredBytes = length == null ? -1 : Long.parseLong(length);
        boolean buffer =
                present && length != null && memoryBudget.tryReserve(Long.parseLong(length));
        this.bufferedBytes = buffer ? Integer.parseInt(length) : 0;
    }

    boolean isPresent() {
        return present;
    }

    /** Returns whether a body has been read as a whole before it is sent. */
    boolean isBuffered() {
        return buffered != null || aheadWhole;
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
        afterContinue(listener, () -> prepareAfterContinue(listener));
    }

    /** Reads as much of the body as is kept in memory, before a try sends it. */
    void readAhead(Listener listener) {
        afterContinue(
                listener,
                () -> {
                    if (aheadListener != null) {
                        aheadListener = listener;
                    } else if (!present
                            || bufferedBytes > 0
                            || ahead != null
                            || !memoryBudget.tryReserve(AHEAD_BYTES)) {
                        prepareAfterContinue(listener);
                    } else {
                        ahead = ByteBuffer.allocate(AHEAD_BYTES);
                        aheadListener = listener;
                        source().onReadable(this::collect);
                        collect();
                    }
                });
    }

    private void collect() {
        if (aheadListener == null) {
            return;
        }
        BodySource from = source();
        int count;
        try {
            do {
                count = from.read(ahead);
            } while (count > 0 && ahead.hasRemaining());
        } catch (IOException e) {
            recordFault(e);
            from.suspend();
            endCollecting().failed();
            return;
        }
        if (count == 0 && ahead.hasRemaining()) {
            from.resume();
            return;
        }
        from.suspend();
        aheadWhole = count < 0;
        endCollecting().ready();
    }

    private Listener endCollecting() {
        Listener listener = aheadListener;
        aheadListener = null;
        ahead.flip();
        return listener;
    }

    private void afterContinue(Listener listener, Runnable next) {
        if (HttpContinue.requiresContinueResponse(exchange)
                && !HttpContinue.isContinueResponseSent(exchange)) {
            sendContinue(listener, next);
        } else {
            next.run();
        }
    }

    /** Sends 100 Continue to a caller that waits for it before it sends the body. */
    private void sendContinue(Listener listener, Runnable next) {
        HttpContinue.sendContinueResponse(
                exchange,
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        next.run();
                    }

                    @Override
                    public void onException(HttpServerExchange done, Sender sender, IOException e) {
                        listener.failed();
                    }
                });
    }

    private void prepareAfterContinue(Listener listener) {
        if (aheadListener != null) {
            // The body is slow; what has come of it is sent.
            source().suspend();
            endCollecting();
        }
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
        if (aheadWhole) {
            return new BodyPump(ahead.duplicate(), sink, listener);
        }
        streamDigest = HttpRequestIdentity.newDigest();
        BodySource rest = ahead == null ? source() : new PrefixedSource(ahead, source());
        return new BodyPump(rest, sink, exchange.getConnection().getByteBufferPool(), listener);
    }

    private BodySource source() {
        if (source == null) {
            if (exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
                chunked = new ChunkedRequestBody(exchange, maxBodyBytes);
                source = new WatchedSource(chunked, channel);
            } else {
                source = new WatchedSource(BodySource.of(exchange.getRequestChannel()), channel);
            }
        }
        return source;
    }

    /** Called with each part of a streamed body before it is sent; the last one may be missing. */
    void recordStreamed(ByteBuffer bytes) {
        if (streamDigest != null) {
            streamDigest.update(bytes.duplicate());
            streamedBytes += bytes.remaining();
            streamedWhole |= streamedBytes == declaredBytes;
        }
    }

    /** Called when a streamed body has been read to its end. */
    void recordStreamEnd() {
        streamedWhole = true;
    }

    /** Returns whether a streamed body has been read to its end. */
    boolean isStreamedWhole() {
        return streamedWhole;
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
        if (aheadWhole) {
            MessageDigest digest = HttpRequestIdentity.newDigest();
            digest.update(ahead.duplicate());
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
        if (ahead != null && !released) {
            memoryBudget.release(AHEAD_BYTES);
        }
        if (bufferedBytes > 0 && !released) {
            buffered = null;
            memoryBudget.release(bufferedBytes);
        }
        released = true;
    }

    private void bufferWhole() {
        if (bufferingStarted) {
            return;
        }
        bufferingStarted = true;
        ByteBuffer into = ByteBuffer.allocate(bufferedBytes);
        source().onReadable(() -> readAvailable(into));
        readAvailable(into);
    }

    private void readAvailable(ByteBuffer into) {
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
