package org.snipeslip.server.http;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;

/** Relays one response to the caller: the whole of it, or a visibly broken one. */
final class ResponseRelay implements BodyPump.Listener {
    private final BackendTry backendTry;
    private final CallRelay relay;
    private final AnswerRecorder recorder;
    private final ClientResponse response;
    private BodyPump pump;
    private boolean unreadLeft;
    private long readNanos;

    ResponseRelay(BackendTry backendTry, CallRelay relay, boolean keepAnswer) {
        this.backendTry = backendTry;
        this.relay = relay;
        this.recorder = keepAnswer ? new AnswerRecorder() : null;
        this.response = backendTry.clientExchange().getResponse();
    }

    void start() {
        HttpServerExchange exchange = relay.exchange();
        HeaderMap from = response.getResponseHeaders();
        HeaderMap to = exchange.getResponseHeaders();
        exchange.setStatusCode(response.getResponseCode());
        HopByHop.copyEndToEnd(from, to);
        to.remove(relay.dialect().load());
        relay.finishHead();
        if (ResponseCheck.isBodiless(response.getResponseCode())) {
            startWithoutBody(to);
            return;
        }
        pump =
                new BodyPump(
                        BodySource.of(backendTry.clientExchange().getResponseChannel()),
                        exchange.getResponseChannel(),
                        exchange.getConnection().getByteBufferPool(),
                        this);
        pump.start();
    }

    /** Closes both connections, so that a cut response is seen as broken. */
    void broken() {
        if (backendTry.finish()) {
            relay.broken(
                    new Event.TryFailed(
                            backendTry.order().tryId(),
                            TryFailure.BROKEN_BODY,
                            LoadReport.UNKNOWN));
        }
    }

    @Override
    public void passed(ByteBuffer bytes) {
        if (recorder != null) {
            recorder.passed(bytes);
        }
    }

    @Override
    public void sourceEnded() {
        readNanos = System.nanoTime();
        if (!unreadLeft) {
            backendTry.responseRead();
        }
    }

    @Override
    public void completed() {
        if (backendTry.finish()) {
            RecordableAnswer recordable =
                    recorder == null ? RecordableAnswer.NONE : recorder.answer(response);
            relay.completed(
                    new Event.TryCompleted(backendTry.order().tryId(), recordable),
                    readNanos - backendTry.sentNanos());
        }
    }

    @Override
    public void sourceFailed(IOException e) {
        broken();
    }

    @Override
    public void sinkFailed(IOException e) {
        relay.callerGone();
    }

    void stop() {
        if (pump != null) {
            pump.stop();
        }
    }

    /**
     * 204 and 304 end with their head. A declared length, which 304 may carry, would make the
     * client wait for a body that never comes, so that connection is given up.
     */
    private void startWithoutBody(HeaderMap to) {
        HeaderMap from = response.getResponseHeaders();
        unreadLeft =
                from.contains(Headers.CONTENT_LENGTH) || from.contains(Headers.TRANSFER_ENCODING);
        if (!unreadLeft) {
            pump =
                    new BodyPump(
                            BodySource.of(backendTry.clientExchange().getResponseChannel()),
                            relay.exchange().getResponseChannel(),
                            relay.exchange().getConnection().getByteBufferPool(),
                            this);
            pump.start();
            return;
        }
        if (response.getResponseCode() == io.undertow.util.StatusCodes.NO_CONTENT) {
            to.remove(Headers.CONTENT_LENGTH);
        }
        sourceEnded();
        pump = new BodyPump(ByteBuffer.allocate(0), relay.exchange().getResponseChannel(), this);
        pump.start();
    }
}
