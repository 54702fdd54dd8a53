package org.snipeslip.server.http;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;

/**
 * Relays one response to the caller. If the response cannot be relayed completely, the caller's
 * connection is reset, so that the caller can detect the truncation.
 */
final class ResponseRelay implements BodyPump.Listener {
    private final BackendTry backendTry;
    private final CallRelay relay;
    private final ResponseRecorder recorder;
    private final ClientResponse response;
    private BodyPump pump;
    private boolean connectionNotReusable;
    private long responseReadNanos;

    ResponseRelay(BackendTry backendTry, CallRelay relay, boolean recordResponse) {
        this.backendTry = backendTry;
        this.relay = relay;
        this.recorder = recordResponse ? new ResponseRecorder() : null;
        this.response = backendTry.clientExchange().getResponse();
    }

    void start() {
        HttpServerExchange exchange = relay.exchange();
        HeaderMap from = response.getResponseHeaders();
        HeaderMap to = exchange.getResponseHeaders();
        exchange.setStatusCode(response.getResponseCode());
        HopByHop.copyEndToEnd(from, to);
        to.remove(relay.dialect().load());
        relay.completeResponseHead();
        if (mayBeChunked(to)) {
            to.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        if (ResponseValidator.isBodiless(response.getResponseCode())) {
            startBodiless(to);
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

    /**
     * Returns whether the response has a body without a length that the caller can read in chunks.
     * Without chunks, Undertow ends such a body with its connection if that is not kept. A caller
     * that is still sending its request might then miss the reset that tells a part of a body from
     * a whole one.
     */
    private boolean mayBeChunked(HeaderMap to) {
        return relay.exchange().isHttp11()
                && !relay.exchange().getRequestMethod().equals(Methods.HEAD)
                && !ResponseValidator.isBodiless(response.getResponseCode())
                && !to.contains(Headers.CONTENT_LENGTH);
    }

    /** Closes both connections, so that the caller detects a truncated response. */
    void abort() {
        if (backendTry.endAndClose()) {
            relay.responseAborted(
                    new Event.TryFailed(
                            backendTry.action().tryId(),
                            backendTry.bodyFailure(),
                            LoadReport.UNKNOWN));
        }
    }

    @Override
    public void beforeWrite(ByteBuffer bytes) {
        backendTry.bodyReceived();
        if (recorder != null) {
            recorder.append(bytes);
        }
    }

    @Override
    public void sinkBlocked() {
        relay.channel().waitForCaller();
    }

    @Override
    public void sinkTook(int bytes) {
        relay.channel().progressed(bytes);
    }

    @Override
    public void sourceEnded() {
        responseReadNanos = System.nanoTime();
        if (!connectionNotReusable) {
            backendTry.responseRead();
        }
    }

    @Override
    public void completed() {
        if (backendTry.endAndClose()) {
            RecordableAnswer recordable =
                    recorder == null
                            ? RecordableAnswer.NONE
                            : recorder.toRecordableAnswer(response);
            relay.responseCompleted(
                    new Event.TryCompleted(backendTry.action().tryId(), recordable),
                    responseReadNanos - backendTry.sentNanos());
        }
    }

    @Override
    public void sourceFailed(IOException e) {
        abort();
    }

    @Override
    public void sinkFailed(IOException e) {
        relay.callerDisconnected();
    }

    void stop() {
        if (pump != null) {
            pump.stop();
        }
    }

    /**
     * Relays a 204 or 304, which ends with its head. If the head declares a length, which a 304 may
     * do, Undertow's client would wait for a body that is never sent, so the connection to the
     * backend server is not reused.
     */
    private void startBodiless(HeaderMap to) {
        HeaderMap from = response.getResponseHeaders();
        connectionNotReusable =
                from.contains(Headers.CONTENT_LENGTH) || from.contains(Headers.TRANSFER_ENCODING);
        if (!connectionNotReusable) {
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
