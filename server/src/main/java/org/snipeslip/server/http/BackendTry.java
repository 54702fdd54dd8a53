package org.snipeslip.server.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Transfer;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/** One try of a call at one backend server. All methods run on the exchange's I/O thread. */
final class BackendTry {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Action.SendTry order;
    private final CallRelay relay;
    private final BackendConnections connections;
    private ClientConnection connection;
    private ClientExchange clientExchange;
    private XnioExecutor.Key timeout;
    private boolean ended;
    private boolean requestSent;
    private boolean responseRead;

    BackendTry(Action.SendTry order, CallRelay relay, BackendConnections connections) {
        this.order = order;
        this.relay = relay;
        this.connections = connections;
    }

    void start() {
        HttpServerExchange exchange = relay.exchange();
        timeout =
                exchange.getIoThread()
                        .executeAfter(
                                () -> fail(TryFailure.TIMED_OUT, LoadReport.UNKNOWN),
                                Math.max(1, order.remainingNanos() / NANOS_PER_MILLI),
                                TimeUnit.MILLISECONDS);
        connections.take(
                order.target(),
                exchange.getIoThread(),
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection result) {
                        send(result);
                    }

                    @Override
                    public void failed(IOException e) {
                        fail(TryFailure.NOT_CONNECTED, LoadReport.UNKNOWN);
                    }
                });
    }

    void cancel() {
        if (end()) {
            IoUtils.safeClose(connection);
        }
    }

    /** Relays the response, whose head was reported, to the caller. */
    void relayAnswer() {
        HttpServerExchange exchange = relay.exchange();
        HeaderMap from = clientExchange.getResponse().getResponseHeaders();
        exchange.setStatusCode(clientExchange.getResponse().getResponseCode());
        HopByHop.copyEndToEnd(from, exchange.getResponseHeaders());
        exchange.getResponseHeaders().remove(SnipeslipHeaders.LOAD);
        exchange.getResponseHeaders()
                .put(SnipeslipHeaders.REQUEST_ID, order.tryId().request().value());
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    completed();
                    next.proceed();
                });
        Transfer.initiateTransfer(
                clientExchange.getResponseChannel(),
                exchange.getResponseChannel(),
                source -> responseRead = true,
                this::finishResponse,
                (channel, e) -> broken(),
                (channel, e) -> broken(),
                exchange.getConnection().getByteBufferPool());
    }

    private void finishResponse(StreamSinkChannel sink) {
        responseRead = true;
        flushAndEnd(sink, this::broken);
    }

    private void send(ClientConnection open) {
        if (ended) {
            connections.giveBack(order.target(), open);
            return;
        }
        connection = open;
        requestSent = true;
        open.sendRequest(
                request(),
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange result) {
                        clientExchange = result;
                        result.setResponseListener(responseListener());
                        sendBody();
                    }

                    @Override
                    public void failed(IOException e) {
                        fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN);
                    }
                });
    }

    private ClientRequest request() {
        HttpServerExchange exchange = relay.exchange();
        ClientRequest request = new ClientRequest();
        request.setMethod(exchange.getRequestMethod());
        String query = exchange.getQueryString();
        request.setPath(exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query));
        HeaderMap headers = request.getRequestHeaders();
        HopByHop.copyEndToEnd(exchange.getRequestHeaders(), headers);
        if (exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        headers.put(
                SnipeslipHeaders.DEADLINE_MILLIS,
                Math.max(1, order.remainingNanos() / NANOS_PER_MILLI));
        headers.put(SnipeslipHeaders.DEPTH, relay.depth() + 1);
        headers.put(SnipeslipHeaders.RETRIES_LEFT, order.retriesLeft());
        headers.put(SnipeslipHeaders.REQUEST_ID, order.tryId().request().value());
        return request;
    }

    private void sendBody() {
        HttpServerExchange exchange = relay.exchange();
        if (exchange.isRequestComplete()) {
            return;
        }
        Transfer.initiateTransfer(
                exchange.getRequestChannel(),
                clientExchange.getRequestChannel(),
                source -> {},
                sink ->
                        flushAndEnd(
                                sink,
                                () -> fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN)),
                (channel, e) -> fail(TryFailure.REQUEST_BODY_BROKEN, LoadReport.UNKNOWN),
                (channel, e) -> fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN),
                exchange.getConnection().getByteBufferPool());
    }

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                headArrived(result);
            }

            @Override
            public void failed(IOException e) {
                fail(TryFailure.BROKEN_BEFORE_HEAD, LoadReport.UNKNOWN);
            }
        };
    }

    private void headArrived(ClientExchange result) {
        if (ended) {
            return;
        }
        HeaderMap headers = result.getResponse().getResponseHeaders();
        LoadReport load = LoadHeader.parse(headers.getFirst(SnipeslipHeaders.LOAD));
        int status = result.getResponse().getResponseCode();
        if (status == SERVICE_UNAVAILABLE && headers.contains(SnipeslipHeaders.NOT_RUN)) {
            fail(TryFailure.REFUSED_NOT_RUN, load);
            return;
        }
        relay.report(new Event.TryAnswered(order.tryId(), status, load));
    }

    private void completed() {
        if (!responseRead) {
            broken();
        } else if (end()) {
            connections.giveBack(order.target(), connection);
            relay.finished(new Event.TryCompleted(order.tryId(), RecordableAnswer.NONE));
        }
    }

    /** Closes the caller's connection, so that a cut response is seen as broken. */
    private void broken() {
        if (end()) {
            IoUtils.safeClose(connection);
            IoUtils.safeClose(relay.exchange().getConnection());
            relay.finished(
                    new Event.TryFailed(order.tryId(), TryFailure.BROKEN_BODY, LoadReport.UNKNOWN));
        }
    }

    private void fail(TryFailure failure, LoadReport load) {
        if (end()) {
            IoUtils.safeClose(connection);
            relay.report(new Event.TryFailed(order.tryId(), failure, load));
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.remove();
        return true;
    }

    private static void flushAndEnd(StreamSinkChannel sink, Runnable onFailure) {
        try {
            sink.shutdownWrites();
            if (!sink.flush()) {
                ChannelListener<StreamSinkChannel> whenFlushed = channel -> channel.suspendWrites();
                sink.getWriteSetter()
                        .set(
                                org.xnio.ChannelListeners.flushingChannelListener(
                                        whenFlushed, (channel, e) -> onFailure.run()));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            onFailure.run();
        }
    }
}
