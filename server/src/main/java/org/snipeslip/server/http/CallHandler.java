package org.snipeslip.server.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.call.Handover;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.operator.CallResult;
import org.snipeslip.server.operator.InstanceMetrics;

/** Validates each request on the caller port and starts a call in the state machine. */
public final class CallHandler implements HttpHandler {
    /** Present in the calls that other instances pass on. */
    public static final HttpString HANDOVER = SnipeslipHeaders.HANDOVER;

    private final CallEnvironment environment;
    private final CallerConnections callers;
    private final Supplier<CallLimits> limits;
    private final RequestValidator validator;
    private final BodyMemoryBudget bodyMemoryBudget;
    private final String requestIdPrefix;
    private final AtomicLong nextRequest = new AtomicLong();

    /**
     * Creates a handler.
     *
     * @param eventHandler receives the events of the calls
     * @param connections connections to backend servers
     * @param callers connections of callers
     * @param metrics counts calls
     * @param limits limits on requests, read for each request; the limits on retained bodies are
     *     read only once
     * @param dialect header fields of calls
     * @param requestIdPrefix prefix that is unique across instances and restarts
     * @param servesInstances whether the calls come from other instances that pass them on
     */
    public CallHandler(
            CallEventHandler eventHandler,
            BackendConnectionPool connections,
            CallerConnections callers,
            InstanceMetrics metrics,
            Supplier<CallLimits> limits,
            HttpDialect dialect,
            String requestIdPrefix,
            boolean servesInstances) {
        this.environment =
                new CallEnvironment(
                        eventHandler, connections, metrics, callers, dialect, servesInstances);
        this.callers = callers;
        this.limits = limits;
        this.validator = new RequestValidator(limits, dialect);
        this.bodyMemoryBudget = new BodyMemoryBudget(limits.get());
        this.requestIdPrefix = requestIdPrefix + "-";
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerConnections.Entry caller = callers.requestStarted(exchange);
        RequestId request = requestId(exchange);
        Handover handover = handover(exchange);
        RequestFault fault = fault(exchange, handover);
        if (fault == null) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> receive(exchange, request, caller, handover));
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> refuseRequest(exchange, request, fault));
        }
    }

    /** Returns what another instance states, or null if the call comes from a caller. */
    private Handover handover(HttpServerExchange exchange) {
        String value = exchange.getRequestHeaders().getFirst(HANDOVER);
        return environment.servesInstances() && value != null ? HandoverHeader.decode(value) : null;
    }

    private RequestFault fault(HttpServerExchange exchange, Handover handover) {
        RequestFault fault = validator.validate(exchange);
        boolean lacksHandover = environment.servesInstances() && handover == null;
        return fault == null && lacksHandover ? RequestFault.INVALID_HANDOVER : fault;
    }

    /** Starts a call, at once or when enough of its body has come. */
    private void receive(
            HttpServerExchange exchange,
            RequestId request,
            CallerConnections.Entry caller,
            Handover handover) {
        CallerChannel channel = CallerChannel.of(exchange);
        RequestBody body =
                new RequestBody(exchange, bodyMemoryBudget, channel, limits.get().maxBodyBytes());
        if (!body.isPresent() || HttpContinue.requiresContinueResponse(exchange)) {
            startCall(exchange, request, caller, handover, body, 0, false);
            return;
        }
        new PendingUpload(
                        exchange,
                        body,
                        channel,
                        new PendingUpload.Listener() {
                            @Override
                            public void ready(long waitedNanos, boolean inWindow) {
                                startCall(
                                        exchange,
                                        request,
                                        caller,
                                        handover,
                                        body,
                                        waitedNanos,
                                        inWindow);
                            }

                            @Override
                            public void refused(RequestFault fault) {
                                body.release();
                                refuseRequest(exchange, request, fault);
                            }
                        })
                .begin(caller, CallHeadParser.deadlineMillis(exchange, environment.dialect()));
    }

    private void startCall(
            HttpServerExchange exchange,
            RequestId request,
            CallerConnections.Entry caller,
            Handover handover,
            RequestBody body,
            long waitedNanos,
            boolean inWindow) {
        CallHead head =
                CallHeadParser.parse(exchange, environment.dialect(), body, waitedNanos, handover);
        CallRelay relay =
                new CallRelay(
                        request,
                        exchange,
                        head.depth(),
                        body,
                        environment,
                        CallerChannel.of(exchange),
                        inWindow);
        environment.metrics().callArrived();
        relay.watchCaller(caller);
        environment.eventHandler().begin(request, relay, new Event.CallArrived(request, head));
        relay.begun();
    }

    private void refuseRequest(HttpServerExchange exchange, RequestId request, RequestFault fault) {
        environment.metrics().callArrived();
        environment.metrics().callEnded(CallResult.REFUSED);
        environment.metrics().callRefused(fault.reason());
        environment.completeResponseHead(exchange, request, false);
        environment.completeRefusalHead(exchange, Outcome.NOT_RUN);
        ProblemJson.send(exchange, request, fault, Outcome.NOT_RUN);
    }

    /**
     * Returns the caller's request id where the dialect lets callers set one. If a call with that
     * id is open, a unique suffix is appended.
     */
    private RequestId requestId(HttpServerExchange exchange) {
        String callerRequestId =
                environment.dialect().callerSetsRequestId()
                        ? exchange.getRequestHeaders().getFirst(environment.dialect().requestId())
                        : null;
        if (callerRequestId == null || callerRequestId.isBlank()) {
            return nextRequestId();
        }
        RequestId request = new RequestId(callerRequestId);
        return environment.eventHandler().isOpen(request)
                ? new RequestId(callerRequestId + "/" + nextRequestId().value())
                : request;
    }

    private RequestId nextRequestId() {
        long number = nextRequest.incrementAndGet();
        return new RequestId(requestIdPrefix + Long.toString(number, Character.MAX_RADIX));
    }
}
