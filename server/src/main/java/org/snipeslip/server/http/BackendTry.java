package org.snipeslip.server.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.xnio.XnioExecutor;

/**
 * One try of a call at one backend server, or at another instance: it connects, sends the request
 * and reads the response head. {@link ResponseRelay} then relays the response. All methods run on
 * the exchange's I/O thread.
 */
final class BackendTry {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int FIRST_ERROR_STATUS = 400;

    private final Action.SendTry action;
    private final CallRelay relay;
    private final BackendConnectionPool connections;
    private ClientConnection connection;
    private ResponseConduit responses;
    private ClientExchange clientExchange;
    private final long decidedNanos = System.nanoTime();
    private XnioExecutor.Key timeout;
    private BodyPump requestPump;
    private ResponseRelay responseRelay;
    private boolean requestComplete;
    private boolean responseHeadReceived;
    private boolean ended;
    private long sentNanos;
    private long reusableNanos;

    BackendTry(Action.SendTry action, CallRelay relay, BackendConnectionPool connections) {
        this.action = action;
        this.relay = relay;
        this.connections = connections;
    }

    void start() {
        timeout =
                relay.exchange()
                        .getIoThread()
                        .executeAfter(this::onTimeout, remainingMillis(), TimeUnit.MILLISECONDS);
        relay.body()
                .prepare(
                        new RequestBody.Listener() {
                            @Override
                            public void ready() {
                                connect();
                            }

                            @Override
                            public void failed() {
                                onRequestBodyFailed();
                            }

                            @Override
                            public void alreadyStreamed() {
                                fail(TryFailure.REQUEST_BODY_BROKEN, LoadReport.UNKNOWN);
                            }
                        });
    }

    /** Ends the try without reporting an event. */
    void cancel() {
        endAndClose();
    }

    /** Relays the response to the caller; no effect unless its head has been reported. */
    void relayResponse() {
        if (ended || !responseHeadReceived || responseRelay != null) {
            return;
        }
        responseRelay = new ResponseRelay(this, relay, action.keepAnswer());
        responseRelay.start();
    }

    Action.SendTry action() {
        return action;
    }

    ClientExchange clientExchange() {
        return clientExchange;
    }

    long sentNanos() {
        return sentNanos;
    }

    /**
     * Called when the whole response has been read; returns the connection to the pool if the whole
     * request has been sent.
     */
    void responseRead() {
        if (!ended && requestComplete) {
            connections.release(action.target(), connection, reusableNanos);
            connection = null;
        }
    }

    /** Called when a part of the body of the response was received. */
    void bodyReceived() {
        responses.bodyReceived();
    }

    /** Returns why the body of the response has ended early. */
    TryFailure bodyFailure() {
        return responses.isMalformed() ? TryFailure.MALFORMED_BODY : TryFailure.BROKEN_BODY;
    }

    /** Ends the try and closes its connection; returns false if the try had already ended. */
    boolean endAndClose() {
        if (!markEnded()) {
            return false;
        }
        BackendServerConnections.closeNow(connection);
        return true;
    }

    private void onTimeout() {
        if (responseRelay != null) {
            responseRelay.abort();
        } else {
            fail(TryFailure.TIMED_OUT, LoadReport.UNKNOWN);
        }
    }

    private void connect() {
        if (ended) {
            return;
        }
        if (relay.exchange().isRequestComplete()) {
            relay.requestRead();
        }
        if (relay.body().isBuffered()) {
            relay.requestIdentified(false);
            if (ended) {
                return;
            }
        }
        if (!relay.maySend(action.tryId())) {
            fail(TryFailure.SERVER_LEFT, LoadReport.UNKNOWN);
            return;
        }
        connections.acquire(
                action.target(),
                relay.exchange().getIoThread(),
                new BackendConnectionPool.Listener() {
                    @Override
                    public void connected(ClientConnection acquired) {
                        send(acquired);
                    }

                    @Override
                    public void failed(TryFailure failure) {
                        fail(failure, LoadReport.UNKNOWN);
                    }
                });
    }

    private void send(ClientConnection acquired) {
        if (!ended && !relay.maySend(action.tryId())) {
            // The server has left service while the connection was opened.
            fail(TryFailure.SERVER_LEFT, LoadReport.UNKNOWN);
        }
        if (ended) {
            connections.release(
                    action.target(),
                    acquired,
                    TimeUnit.MILLISECONDS.toNanos(relay.dialect().defaultIdleMillis()));
            return;
        }
        connection = acquired;
        responses = connections.responses(acquired);
        if (responses == null) {
            fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN);
            return;
        }
        responses.requestSent();
        sentNanos = System.nanoTime();
        acquired.sendRequest(
                BackendRequestBuilder.build(relay, action, remainingMillis()),
                callback(
                        result -> {
                            clientExchange = result;
                            result.setResponseListener(callback(this::responseHeadReceived));
                            sendBody();
                        }));
    }

    private void sendBody() {
        if (!relay.body().isPresent()) {
            requestComplete = true;
            return;
        }
        requestPump =
                relay.body()
                        .pump(
                                clientExchange.getRequestChannel(),
                                new BodyPump.Listener() {
                                    @Override
                                    public void beforeWrite(ByteBuffer bytes) {
                                        relay.body().recordStreamed(bytes);
                                        if (relay.body().isStreamedWhole()) {
                                            relay.requestIdentified(true);
                                        }
                                    }

                                    @Override
                                    public void sourceEnded() {
                                        relay.body().recordStreamEnd();
                                        relay.requestIdentified(true);
                                        relay.requestRead();
                                    }

                                    @Override
                                    public void completed() {
                                        requestComplete = true;
                                    }

                                    @Override
                                    public void sourceFailed(IOException e) {
                                        relay.body().recordFault(e);
                                        onRequestBodyFailed();
                                    }

                                    @Override
                                    public void sinkFailed(IOException e) {
                                        // A backend server may respond without reading the whole
                                        // request. Once the response head has arrived, the
                                        // response decides the outcome.
                                        if (!responseHeadReceived) {
                                            fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN);
                                        }
                                    }
                                });
        requestPump.start();
    }

    private void onConnectionFailed() {
        if (responseRelay != null) {
            responseRelay.abort();
        } else {
            fail(responseHeadReceived ? bodyFailure() : headFailure(), LoadReport.UNKNOWN);
        }
    }

    private TryFailure headFailure() {
        return responses != null && responses.isMalformed()
                ? TryFailure.MALFORMED
                : TryFailure.BROKEN_BEFORE_HEAD;
    }

    private void onRequestBodyFailed() {
        if (responseRelay != null) {
            responseRelay.abort();
        } else if (!ended && relay.body().fault() == null) {
            relay.callerDisconnected();
        } else {
            fail(TryFailure.REQUEST_BODY_BROKEN, LoadReport.UNKNOWN);
        }
    }

    private void responseHeadReceived(ClientExchange result) {
        if (ended) {
            return;
        }
        ClientResponse response = result.getResponse();
        if (!isHeadWellFormed(result)) {
            fail(TryFailure.MALFORMED, LoadReport.UNKNOWN);
            return;
        }
        HeaderMap headers = response.getResponseHeaders();
        HttpDialect dialect = relay.dialect();
        LoadReport load = dialect.readLoad(headers);
        if (action.handover() != null) {
            // The response of an instance that got the call says nothing about that instance.
            load = load.withLeaving(false).withColdMillis(0);
        }
        int status = response.getResponseCode();
        if (!matchesRequestId(headers)) {
            // A late response to an earlier request: the response to this one cannot be identified.
            fail(TryFailure.MALFORMED, LoadReport.UNKNOWN);
            return;
        }
        if (isFromAnotherServer(status)) {
            fail(TryFailure.REFUSED_NOT_RUN, LoadReport.UNKNOWN);
            return;
        }
        if (status >= FIRST_ERROR_STATUS && headers.contains(dialect.notRun())) {
            fail(TryFailure.REFUSED_NOT_RUN, load);
            return;
        }
        reusableNanos = KeepAlive.reusableNanos(headers, dialect.defaultIdleMillis());
        responseHeadReceived = true;
        relay.report(new Event.TryAnswered(action.tryId(), status, load));
    }

    private boolean isHeadWellFormed(ClientExchange result) {
        try {
            responses.headReceived(ResponseValidator.hasChunkedBody(result));
        } catch (IOException e) {
            return false;
        }
        return ResponseValidator.isWellFramed(result.getResponse());
    }

    private boolean matchesRequestId(HeaderMap headers) {
        HttpString name = relay.dialect().requestId();
        String sent = relay.exchange().getRequestHeaders().getFirst(name);
        return !relay.dialect().callerSetsRequestId()
                || sent == null
                || sent.equals(headers.getFirst(name));
    }

    private boolean isFromAnotherServer(int status) {
        return status == MISDIRECTED_REQUEST
                && relay.dialect().expectedServer() != null
                && action.handover() == null;
    }

    private void fail(TryFailure failure, LoadReport load) {
        if (markEnded()) {
            BackendServerConnections.closeNow(connection);
            relay.report(new Event.TryFailed(action.tryId(), failure, load));
        }
    }

    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.remove();
        if (requestPump != null) {
            requestPump.stop();
        }
        if (responseRelay != null) {
            responseRelay.stop();
        }
        return true;
    }

    /** Returns the time left now; the body may have taken long since the try was decided. */
    private long remainingMillis() {
        long elapsedNanos = System.nanoTime() - decidedNanos;
        return Math.max(1, (action.remainingNanos() - elapsedNanos) / NANOS_PER_MILLI);
    }

    private ClientCallback<ClientExchange> callback(
            java.util.function.Consumer<ClientExchange> onCompleted) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                onConnectionFailed();
            }
        };
    }
}
