package org.snipeslip.server.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.operator.CallResult;
import org.snipeslip.server.operator.ServerMetrics;

/** Turns each request on the caller port into a call of the state machine. */
public final class CallHandler implements HttpHandler {
    private final CallShell shell;
    private final CallerConnections callers;
    private final Supplier<CallLimits> limits;
    private final RequestCheck check;
    private final KeptBodies keptBodies;
    private final String requestIdPrefix;
    private final AtomicLong nextRequest = new AtomicLong();

    /**
     * Creates a handler.
     *
     * @param events takes the calls
     * @param connections connections to backend servers
     * @param callers connections of callers
     * @param metrics counts calls
     * @param limits bounds on requests, read for each request
     * @param dialect header fields of calls
     * @param requestIdPrefix makes request ids unique across instances and restarts
     */
    public CallHandler(
            CallEvents events,
            BackendConnections connections,
            CallerConnections callers,
            ServerMetrics metrics,
            Supplier<CallLimits> limits,
            HttpDialect dialect,
            String requestIdPrefix) {
        this.shell = new CallShell(events, connections, metrics, callers, dialect);
        this.callers = callers;
        this.limits = limits;
        this.check = new RequestCheck(limits, dialect);
        this.keptBodies = new KeptBodies(limits.get());
        this.requestIdPrefix = requestIdPrefix + "-";
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerConnections.State caller = callers.begin(exchange);
        RequestId request = requestId(exchange);
        RequestFault fault = check.check(exchange);
        if (fault == null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange, request, caller));
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuse(exchange, request, fault));
        }
    }

    private void begin(
            HttpServerExchange exchange, RequestId request, CallerConnections.State caller) {
        RequestBody body = new RequestBody(exchange, keptBodies, limits.get().maxBodyBytes());
        CallHead head = CallHeads.of(exchange, shell.dialect(), body.isReplayable());
        CallRelay relay = new CallRelay(request, exchange, head.depth(), body, shell);
        shell.metrics().arrived();
        relay.begin(caller);
        shell.events().begin(request, relay, new Event.CallArrived(request, head));
    }

    private void refuse(HttpServerExchange exchange, RequestId request, RequestFault fault) {
        shell.metrics().arrived();
        shell.metrics().ended(CallResult.REFUSED);
        shell.metrics().refused(fault.text());
        shell.finishHead(exchange, request, false);
        ProblemJson.send(exchange, request, fault, Outcome.NOT_RUN);
    }

    /** Calls with one id at the same time are told apart; the id of the caller stays in front. */
    private RequestId requestId(HttpServerExchange exchange) {
        String named =
                shell.dialect().callerNamesCall()
                        ? exchange.getRequestHeaders().getFirst(shell.dialect().requestId())
                        : null;
        if (named == null || named.isBlank()) {
            return nextRequestId();
        }
        RequestId request = new RequestId(named);
        return shell.events().isOpen(request)
                ? new RequestId(named + "/" + nextRequestId().value())
                : request;
    }

    private RequestId nextRequestId() {
        long number = nextRequest.incrementAndGet();
        return new RequestId(requestIdPrefix + Long.toString(number, Character.MAX_RADIX));
    }
}
