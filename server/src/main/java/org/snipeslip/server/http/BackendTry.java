package org.snipeslip.server.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.xnio.XnioExecutor;

/**
 * One try of a call at one backend server: connection, request and response head. {@link
 * ResponseRelay} takes over when the response is relayed. All methods run on the exchange's I/O
 * thread.
 */
final class BackendTry {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MISDIRECTED = 421;
    private static final int FIRST_ERROR_STATUS = 400;

    private final Action.SendTry order;
    private final CallRelay relay;
    private final BackendConnections connections;
    private ClientConnection connection;
    private ClientExchange clientExchange;
    private XnioExecutor.Key timeout;
    private BodyPump requestPump;
    private ResponseRelay responseRelay;
    private boolean requestComplete;
    private boolean headArrived;
    private boolean ended;
    private long sentNanos;
    private long usableNanos;

    BackendTry(Action.SendTry order, CallRelay relay, BackendConnections connections) {
        this.order = order;
        this.relay = relay;
        this.connections = connections;
    }

    void start() {
        timeout =
                relay.exchange()
                        .getIoThread()
                        .executeAfter(this::timeUp, remainingMillis(), TimeUnit.MILLISECONDS);
        relay.body()
                .prepare(
                        new RequestBody.Listener() {
                            @Override
                            public void ready() {
                                connect();
                            }

                            @Override
                            public void broken() {
                                requestBroken();
                            }

                            @Override
                            public void consumed() {
                                fail(TryFailure.REQUEST_BODY_BROKEN, LoadReport.UNKNOWN);
                            }
                        });
    }

    /** Ends the try without an event. */
    void cancel() {
        finish();
    }

    /** Relays the response, whose head was reported, to the caller. */
    void relayAnswer() {
        if (ended || !headArrived || responseRelay != null) {
            return;
        }
        responseRelay = new ResponseRelay(this, relay, order.keepAnswer());
        responseRelay.start();
    }

    Action.SendTry order() {
        return order;
    }

    ClientExchange clientExchange() {
        return clientExchange;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Gives the connection back once the response was read whole, if the request was sent. */
    void responseRead() {
        if (!ended && requestComplete) {
            connections.giveBack(order.target(), connection, usableNanos);
            connection = null;
        }
    }

    /** Ends the try and what is left of its connection; false if it had ended before. */
    boolean finish() {
        if (!end()) {
            return false;
        }
        ServerConnections.closeNow(connection);
        return true;
    }

    private void timeUp() {
        if (responseRelay != null) {
            responseRelay.broken();
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
        connections.take(
                order.target(),
                relay.exchange().getIoThread(),
                new BackendConnections.Listener() {
                    @Override
                    public void connected(ClientConnection open) {
                        send(open);
                    }

                    @Override
                    public void failed(TryFailure failure) {
                        fail(failure, LoadReport.UNKNOWN);
                    }
                });
    }

    private void send(ClientConnection open) {
        if (ended) {
            connections.giveBack(
                    order.target(),
                    open,
                    TimeUnit.MILLISECONDS.toNanos(relay.dialect().defaultIdleMillis()));
            return;
        }
        connection = open;
        sentNanos = System.nanoTime();
        open.sendRequest(
                RequestHeads.of(relay, order, remainingMillis()),
                callback(
                        result -> {
                            clientExchange = result;
                            result.setResponseListener(callback(this::headArrived));
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
                                    public void sourceEnded() {
                                        relay.requestRead();
                                    }

                                    @Override
                                    public void completed() {
                                        requestComplete = true;
                                    }

                                    @Override
                                    public void sourceFailed(IOException e) {
                                        relay.body().noteBroken(e);
                                        requestBroken();
                                    }

                                    @Override
                                    public void sinkFailed(IOException e) {
                                        // A backend server may answer and stop reading; once its
                                        // head arrived, the response decides.
                                        if (!headArrived) {
                                            fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN);
                                        }
                                    }
                                });
        requestPump.start();
    }

    private void connectionBroken() {
        if (responseRelay != null) {
            responseRelay.broken();
        } else {
            fail(
                    headArrived ? TryFailure.BROKEN_BODY : TryFailure.BROKEN_BEFORE_HEAD,
                    LoadReport.UNKNOWN);
        }
    }

    private void requestBroken() {
        if (responseRelay != null) {
            responseRelay.broken();
        } else if (!ended && relay.body().fault() == null) {
            relay.callerGone();
        } else {
            fail(TryFailure.REQUEST_BODY_BROKEN, LoadReport.UNKNOWN);
        }
    }

    private void headArrived(ClientExchange result) {
        if (ended) {
            return;
        }
        ClientResponse response = result.getResponse();
        if (!ResponseCheck.isWellFramed(response)) {
            fail(TryFailure.MALFORMED, LoadReport.UNKNOWN);
            return;
        }
        HeaderMap headers = response.getResponseHeaders();
        HttpDialect dialect = relay.dialect();
        LoadReport load = dialect.loadReader().apply(headers.getFirst(dialect.load()));
        int status = response.getResponseCode();
        if (!isOwnAnswer(headers)) {
            // An answer to an earlier request came late; that to this one can no longer be told.
            fail(TryFailure.MALFORMED, LoadReport.UNKNOWN);
            return;
        }
        if (isNotRun(status, headers)) {
            fail(TryFailure.REFUSED_NOT_RUN, load);
            return;
        }
        usableNanos = KeepAlive.usableNanos(headers, dialect.defaultIdleMillis());
        headArrived = true;
        relay.report(new Event.TryAnswered(order.tryId(), status, load));
    }

    private boolean isOwnAnswer(HeaderMap headers) {
        HttpString name = relay.dialect().requestId();
        String sent = relay.exchange().getRequestHeaders().getFirst(name);
        return !relay.dialect().callerNamesCall()
                || sent == null
                || sent.equals(headers.getFirst(name));
    }

    private boolean isNotRun(int status, HeaderMap headers) {
        HttpDialect dialect = relay.dialect();
        return status >= FIRST_ERROR_STATUS && headers.contains(dialect.notRun())
                || status == MISDIRECTED && dialect.expectedServer() != null;
    }

    private void fail(TryFailure failure, LoadReport load) {
        if (end()) {
            ServerConnections.closeNow(connection);
            relay.report(new Event.TryFailed(order.tryId(), failure, load));
        }
    }

    private boolean end() {
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

    private long remainingMillis() {
        return Math.max(1, order.remainingNanos() / NANOS_PER_MILLI);
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
                connectionBroken();
            }
        };
    }
}
