package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.server.operator.CallResult;

/**
 * Carries the actions of one call on the I/O thread of its exchange. The call ends once: with a
 * relayed, replayed or refused answer, a broken response, or the caller's leaving. Actions that
 * come later, or name an unknown try, have no effect.
 */
public final class CallRelay {
    private final RequestId request;
    private final HttpServerExchange exchange;
    private final int depth;
    private final RequestBody body;
    private final CallShell shell;
    private final long arrivedNanos = System.nanoTime();
    private final Map<TryId, BackendTry> tries = new HashMap<>(2);
    private boolean requestRead;
    private boolean ended;
    private long serverNanos;

    CallRelay(
            RequestId request,
            HttpServerExchange exchange,
            int depth,
            RequestBody body,
            CallShell shell) {
        this.request = request;
        this.exchange = exchange;
        this.depth = depth;
        this.body = body;
        this.shell = shell;
    }

    /**
     * Carries out an action of this call.
     *
     * @param action the action
     */
    public void carryOut(Action action) {
        if (Thread.currentThread() == exchange.getIoThread()) {
            carryOutHere(action);
        } else {
            exchange.getIoThread().execute(() -> carryOutHere(action));
        }
    }

    private void carryOutHere(Action action) {
        switch (action) {
            case Action.SendTry order -> startTry(order);
            case Action.CancelTry cancel -> cancelTry(cancel.tryId());
            case Action.RelayAnswer answer -> relayAnswer(answer.tryId());
            case Action.RefuseCaller refuse -> refuse(refuse.refusal());
            case Action.ReplayAnswer replay -> replay(replay.answer());
            default -> throw new IllegalArgumentException(action.getClass().getSimpleName());
        }
    }

    /** Begins to notice when the caller leaves. */
    void begin(CallerConnections.State caller) {
        caller.onClosed(this::callerGone);
        if (!body.isPresent()) {
            requestRead();
        }
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    HttpDialect dialect() {
        return shell.dialect();
    }

    RequestBody body() {
        return body;
    }

    int depth() {
        return depth;
    }

    void report(Event event) {
        shell.events().handle(event);
    }

    /** The request was read whole; from now on the connection is watched for its end. */
    void requestRead() {
        if (!requestRead) {
            requestRead = true;
            if (!ended) {
                CallerWatch.start(exchange, this::callerGone);
            }
        }
    }

    /** Completes the head of a response that is about to be sent. */
    void finishHead() {
        // The last bytes may have been read but not sent yet, if the backend server answers early.
        if (exchange.isRequestComplete()) {
            requestRead();
        }
        shell.finishHead(exchange, request, requestRead);
    }

    /** The caller has its whole answer. */
    void completed(Event.TryCompleted event, long backendNanos) {
        serverNanos = backendNanos;
        if (end(CallResult.RELAYED)) {
            shell.metrics().completed(System.nanoTime() - arrivedNanos, backendNanos);
            Responses.closeIfUnread(exchange);
            report(event);
            cancelAll();
        }
    }

    /** The response broke off: the caller's connection closes without a clean end. */
    void broken(Event.TryFailed event) {
        if (end(CallResult.BROKEN)) {
            Responses.abort(exchange);
            report(event);
            cancelAll();
        }
    }

    /** The caller closed its connection, or it broke. */
    void callerGone() {
        if (end(CallResult.CALLER_GONE)) {
            Responses.abort(exchange);
            report(new Event.CallerGone(request));
            cancelAll();
        }
    }

    private void startTry(Action.SendTry order) {
        if (ended || tries.containsKey(order.tryId())) {
            return;
        }
        BackendTry backendTry = new BackendTry(order, this, shell.connections());
        tries.put(order.tryId(), backendTry);
        shell.metrics().tryStarted();
        backendTry.start();
    }

    private void cancelTry(TryId tryId) {
        BackendTry backendTry = tries.get(tryId);
        if (backendTry != null) {
            backendTry.cancel();
        }
    }

    private void relayAnswer(TryId tryId) {
        BackendTry backendTry = tries.get(tryId);
        if (backendTry != null && !ended && !exchange.isResponseStarted()) {
            backendTry.relayAnswer();
        }
    }

    private void refuse(Refusal refusal) {
        boolean started = exchange.isResponseStarted();
        if (!started) {
            exchange.setStatusCode(refusal.status());
        }
        if (!end(CallResult.REFUSED)) {
            return;
        }
        cancelAll();
        if (started) {
            Responses.abort(exchange);
        } else if (body.fault() != null) {
            shell.metrics().refused(body.fault().text());
            finishHead();
            ProblemJson.send(exchange, request, body.fault(), refusal.outcome());
        } else {
            shell.metrics().refused(refusal.reason().text());
            finishHead();
            ProblemJson.send(exchange, request, refusal, shell.dialect());
        }
    }

    private void replay(RecordableAnswer answer) {
        if (exchange.isResponseStarted() || !end(CallResult.REPLAYED)) {
            return;
        }
        cancelAll();
        finishHead();
        Responses.replay(exchange, answer);
    }

    private boolean end(CallResult result) {
        if (ended) {
            return false;
        }
        ended = true;
        body.release();
        shell.events().forget(request);
        shell.metrics().ended(result);
        shell.logEnded(request, result, status(result), arrivedNanos, serverNanos, tries.size());
        return true;
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
