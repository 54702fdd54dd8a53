package org.snipeslip.server.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.xnio.channels.StreamSinkChannel;

/**
 * The body of a call's request. A small body of known length is read whole before the first try, so
 * that further tries can send it again; any other is streamed once. Nothing is read before the
 * first try asks for it.
 */
final class RequestBody {
    private final HttpServerExchange exchange;
    private final KeptBodies memory;
    private final boolean present;
    private final long maxBodyBytes;
    private final int keptBytes;
    private final List<Listener> waiting = new ArrayList<>(1);
    private ByteBuffer kept;
    private ChunkedRequestBody chunked;
    private boolean reading;
    private boolean streamed;
    private boolean released;
    private RequestFault fault;

    RequestBody(HttpServerExchange exchange, KeptBodies memory, long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.exchange = exchange;
        this.memory = memory;
        this.present = !exchange.isRequestComplete();
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        boolean keep = present && length != null && memory.tryReserve(Long.parseLong(length));
        this.keptBytes = keep ? Integer.parseInt(length) : 0;
    }

    boolean isPresent() {
        return present;
    }

    /** Tells whether several tries may send the body. */
    boolean isReplayable() {
        return !present || keptBytes > 0;
    }

    /** Returns why the caller's body is refused, or null. */
    RequestFault fault() {
        return fault;
    }

    /** Calls the listener once the body can be sent by one more try. */
    void prepare(Listener listener) {
        if (HttpContinue.requiresContinueResponse(exchange)
                && !HttpContinue.isContinueResponseSent(exchange)) {
            askForBody(listener);
        } else {
            prepareAsked(listener);
        }
    }

    /** Sends 100 Continue, so that a caller that waits for it sends its body. */
    private void askForBody(Listener listener) {
        HttpContinue.sendContinueResponse(
                exchange,
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        prepareAsked(listener);
                    }

                    @Override
                    public void onException(HttpServerExchange done, Sender sender, IOException e) {
                        listener.broken();
                    }
                });
    }

    private void prepareAsked(Listener listener) {
        if (keptBytes > 0 && kept == null) {
            waiting.add(listener);
            readWhole();
        } else if (present && keptBytes == 0 && streamed) {
            listener.consumed();
        } else {
            listener.ready();
        }
    }

    /** Returns the pump that sends the body of a prepared try. */
    BodyPump pump(StreamSinkChannel sink, BodyPump.Listener listener) {
        if (keptBytes > 0) {
            return new BodyPump(kept.duplicate(), sink, listener);
        }
        streamed = true;
        return new BodyPump(source(), sink, exchange.getConnection().getByteBufferPool(), listener);
    }

    private BodySource source() {
        if (!exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            return BodySource.of(exchange.getRequestChannel());
        }
        chunked = new ChunkedRequestBody(exchange, maxBodyBytes);
        return chunked;
    }

    void noteBroken(IOException e) {
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
        if (keptBytes > 0 && !released) {
            released = true;
            kept = null;
            memory.release(keptBytes);
        }
    }

    private void readWhole() {
        if (reading) {
            return;
        }
        reading = true;
        ByteBuffer into = ByteBuffer.allocate(keptBytes);
        BodySource source = BodySource.of(exchange.getRequestChannel());
        source.onReadable(() -> fill(source, into));
        fill(source, into);
    }

    private void fill(BodySource source, ByteBuffer into) {
        try {
            int count;
            do {
                // A read beyond the declared length gives the end of the body, not more bytes.
                count = source.read(into.hasRemaining() ? into : ByteBuffer.allocate(1));
            } while (count > 0);
            if (count == 0) {
                source.resume();
                return;
            }
            kept = into.flip();
        } catch (IOException e) {
            noteBroken(e);
        }
        List<Listener> ready = List.copyOf(waiting);
        waiting.clear();
        ready.forEach(kept == null ? Listener::broken : Listener::ready);
    }

    /** Takes the outcome of {@link #prepare}. */
    interface Listener {
        void ready();

        /** The caller left or sent a malformed body. */
        void broken();

        /** An earlier try streamed the body, so it cannot be sent again. */
        void consumed();
    }
}
