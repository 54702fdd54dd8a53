package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.server.operator.CallResult;
import org.xnio.XnioExecutor;

/**
 * Executes the actions of one call on the I/O thread of its exchange. The call ends exactly once:
 * with a relayed, replayed or refused response, a truncated response, or the disconnection of the
 * caller. Actions that arrive after the end, or refer to an unknown try, have no effect.
 */
public final class CallRelay {
    private final RequestId request;
    private final HttpServerExchange exchange;
    private final int depth;
    private final RequestBody body;
    private final CallEnvironment environment;
    private final CallerChannel channel;

    /** Whether the request occupies a place in the window of uploads. */
    private boolean inUploadWindow;

    private final long arrivedNanos = System.nanoTime();
    private final Map<TryId, BackendTry> tries = new HashMap<>(2);
    private boolean requestRead;
    private boolean identified;
    private boolean ended;
    private long serverNanos;

    CallRelay(
            RequestId request,
            HttpServerExchange exchange,
            int depth,
            RequestBody body,
            CallEnvironment environment,
            CallerChannel channel,
            boolean inUploadWindow) {
        this.channel = channel;
        this.inUploadWindow = inUploadWindow;
        this.request = request;
        this.exchange = exchange;
        this.depth = depth;
        this.body = body;
        this.environment = environment;
    }

    /**
     * Executes an action of this call. May be called on any thread.
     *
     * @param action one of the actions that concern a single call; any other is rejected
     */
    public void execute(Action action) {
        if (Thread.currentThread() == exchange.getIoThread()) {
            executeOnIoThread(action);
        } else {
            exchange.getIoThread().execute(() -> executeOnIoThread(action));
        }
    }

    private void executeOnIoThread(Action action) {
        switch (action) {
            case Action.SendTry send -> startTry(send);
            case Action.CancelTry cancel -> cancelTry(cancel.tryId());
            case Action.RelayAnswer answer -> relayResponse(answer.tryId());
            case Action.ReadRequest read -> readRequest(read.remainingNanos());
            case Action.RefuseCaller refuse -> refuse(refuse.refusal());
            case Action.ReplayAnswer replay -> replay(replay.answer());
            default ->
                    throw new IllegalArgumentException(
                            "not an action of a call: " + action.getClass().getSimpleName());
        }
    }

    /** Starts to detect that the caller disconnects. */
    void watchCaller(CallerConnections.Entry caller) {
        caller.onClosed(this::callerDisconnected);
        if (!body.isPresent()) {
            requestRead();
        }
    }

    /** Called after the call began; a call that is not sent at once waits for a backend server. */
    void begun() {
        if (!ended && tries.isEmpty()) {
            channel.budget().callWaits(exchange.getIoThread());
        }
    }

    CallerChannel channel() {
        return channel;
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    HttpDialect dialect() {
        return environment.dialect();
    }

    RequestBody body() {
        return body;
    }

    int depth() {
        return depth;
    }

    void report(Event event) {
        environment.eventHandler().handle(event);
    }

    /** Returns whether the server of a try is still in service. */
    boolean maySend(TryId tryId) {
        return environment.eventHandler().maySend(tryId);
    }

    /**
     * Called when the request has been read completely; starts to detect the caller's disconnect.
     */
    void requestRead() {
        if (!requestRead) {
            requestRead = true;
            leaveUploadWindow(true);
            if (!ended) {
                CallerDisconnectDetector.start(exchange, this::callerDisconnected);
            }
        }
    }

    /**
     * Reports that the digest of a request with a body is known now.
     *
     * @param partlySent whether a part of the request may have reached a backend server
     */
    void requestIdentified(boolean partlySent) {
        if (!identified && !ended) {
            identified = true;
            report(new Event.RequestRead(request, partlySent));
        }
    }

    /** Adds the header fields that every response carries, just before the response is sent. */
    void completeResponseHead() {
        // If the backend server responds early, the last bytes of the request may have been read
        // from the caller but not yet sent to the backend server.
        if (exchange.isRequestComplete()) {
            requestRead();
        }
        environment.completeResponseHead(exchange, request, requestRead);
    }

    /** The complete response has been sent to the caller. */
    void responseCompleted(Event.TryCompleted event, long backendNanos) {
        serverNanos = backendNanos;
        if (markEnded(CallResult.RELAYED)) {
            environment
                    .metrics()
                    .recordCallDuration(System.nanoTime() - arrivedNanos, backendNanos);
            Responses.closeIfRequestUnread(exchange);
            report(event);
            cancelAll();
        }
    }

    /**
     * The response was truncated; resets the caller's connection, so that it does not look
     * complete.
     */
    void responseAborted(Event.TryFailed event) {
        if (markEnded(CallResult.BROKEN)) {
            Responses.resetConnection(exchange);
            report(event);
            cancelAll();
        }
    }

    /** The caller closed its connection, or the connection failed. */
    void callerDisconnected() {
        if (markEnded(CallResult.CALLER_GONE)) {
            Responses.resetConnection(exchange);
            report(new Event.CallerDisconnected(request));
            cancelAll();
        }
    }

    private void readRequest(long remainingNanos) {
        Event.RequestRead read = new Event.RequestRead(request, false);
        XnioExecutor.Key timeout =
                exchange.getIoThread()
                        .executeAfter(() -> report(read), remainingNanos, TimeUnit.NANOSECONDS);
        body.readAhead(
                new RequestBody.Listener() {
                    @Override
                    public void ready() {
                        timeout.remove();
                        report(read);
                    }

                    @Override
                    public void failed() {
                        timeout.remove();
                        if (body.fault() == null) {
                            callerDisconnected();
                        } else {
                            report(new Event.CallerDisconnected(request));
                            refuse(Refusal.notRun(RefusalReason.OVERLOADED));
                        }
                    }

                    @Override
                    public void alreadyStreamed() {
                        throw new IllegalStateException("no try has been sent yet: " + request);
                    }
                });
    }

    private void startTry(Action.SendTry action) {
        if (ended || tries.containsKey(action.tryId())) {
            return;
        }
        BackendTry backendTry = new BackendTry(action, this, environment.connections());
        tries.put(action.tryId(), backendTry);
        channel.holdServer();
        environment.metrics().tryStarted();
        backendTry.start();
    }

    private void cancelTry(TryId tryId) {
        BackendTry backendTry = tries.get(tryId);
        if (backendTry != null) {
            backendTry.cancel();
        }
    }

    private void relayResponse(TryId tryId) {
        BackendTry backendTry = tries.get(tryId);
        if (backendTry != null && !ended && !exchange.isResponseStarted()) {
            backendTry.relayResponse();
        }
    }

    private void refuse(Refusal refusal) {
        boolean started = exchange.isResponseStarted();
        if (!started) {
            exchange.setStatusCode(refusal.status());
        }
        if (!markEnded(CallResult.REFUSED)) {
            return;
        }
        cancelAll();
        environment.completeRefusalHead(exchange, refusal.outcome());
        if (started) {
            Responses.resetConnection(exchange);
        } else if (body.fault() != null) {
            environment.metrics().callRefused(body.fault().reason());
            completeResponseHead();
            ProblemJson.send(exchange, request, body.fault(), refusal.outcome());
        } else {
            environment.metrics().callRefused(refusal.reason().text());
            if (refusal.status() == StatusCodes.SERVICE_UNAVAILABLE) {
                channel.budget().callWaits(exchange.getIoThread());
            }
            completeResponseHead();
            ProblemJson.send(exchange, request, refusal, environment.dialect());
        }
    }

    private void replay(RecordableAnswer answer) {
        if (exchange.isResponseStarted() || !markEnded(CallResult.REPLAYED)) {
            return;
        }
        cancelAll();
        completeResponseHead();
        Responses.replay(exchange, answer);
    }

    private boolean markEnded(CallResult result) {
        if (ended) {
            return false;
        }
        ended = true;
        channel.releaseServer();
        leaveUploadWindow(false);
        body.release();
        environment.eventHandler().forget(request);
        environment.metrics().callEnded(result);
        environment.logCallEnd(
                request, result, status(result), arrivedNanos, serverNanos, tries.size());
        return true;
    }

    private void leaveUploadWindow(boolean complete) {
        if (inUploadWindow) {
            inUploadWindow = false;
            channel.budget().uploads().ended(complete);
        }
    }

    private int status(CallResult result) {
        return result == CallResult.CALLER_GONE && !exchange.isResponseStarted()
                ? 0
                : exchange.getStatusCode();
    }

    private void cancelAll() {
        List<BackendTry> open = new ArrayList<>(tries.values());
        open.forEach(BackendTry::cancel);
    }
}
