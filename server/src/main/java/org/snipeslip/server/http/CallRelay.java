package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.runtime.InstanceRuntime;

/** Carries the actions of one call on the I/O thread of its exchange. */
public final class CallRelay {
    private final RequestId request;
    private final HttpServerExchange exchange;
    private final int depth;
    private final InstanceRuntime runtime;
    private final BackendConnections connections;
    private final Map<TryId, BackendTry> tries = new HashMap<>(2);

    CallRelay(
            RequestId request,
            HttpServerExchange exchange,
            int depth,
            InstanceRuntime runtime,
            BackendConnections connections) {
        this.request = request;
        this.exchange = exchange;
        this.depth = depth;
        this.runtime = runtime;
        this.connections = connections;
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
            case Action.SendTry order -> {
                BackendTry backendTry = new BackendTry(order, this, connections);
                tries.put(order.tryId(), backendTry);
                backendTry.start();
            }
            case Action.CancelTry cancel -> tries.get(cancel.tryId()).cancel();
            case Action.RelayAnswer relay -> tries.get(relay.tryId()).relayAnswer();
            case Action.RefuseCaller refuse -> {
                runtime.forget(request);
                ProblemJson.send(exchange, request, refuse.refusal());
            }
            default -> throw new IllegalArgumentException(action.getClass().getSimpleName());
        }
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    int depth() {
        return depth;
    }

    void report(Event event) {
        runtime.handle(event);
    }

    void finished(Event event) {
        runtime.forget(request);
        runtime.handle(event);
    }
}
