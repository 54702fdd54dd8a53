package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.server.log.CallLog;
import org.snipeslip.server.operator.CallResult;
import org.snipeslip.server.operator.InstanceMetrics;

/** The services that all calls of a process share. */
final class CallEnvironment {
    private final CallEventHandler eventHandler;
    private final BackendConnectionPool connections;
    private final InstanceMetrics metrics;
    private final CallerConnections callers;
    private final HttpDialect dialect;
    private final boolean servesInstances;

    CallEnvironment(
            CallEventHandler eventHandler,
            BackendConnectionPool connections,
            InstanceMetrics metrics,
            CallerConnections callers,
            HttpDialect dialect,
            boolean servesInstances) {
        this.eventHandler = eventHandler;
        this.connections = connections;
        this.metrics = metrics;
        this.callers = callers;
        this.dialect = dialect;
        this.servesInstances = servesInstances;
    }

    HttpDialect dialect() {
        return dialect;
    }

    CallEventHandler eventHandler() {
        return eventHandler;
    }

    BackendConnectionPool connections() {
        return connections;
    }

    InstanceMetrics metrics() {
        return metrics;
    }

    /** Returns whether the calls come from other instances that pass them on. */
    boolean servesInstances() {
        return servesInstances;
    }

    /**
     * Marks a refusal for the instance that has passed the call, which may then pass it to another
     * one.
     */
    void completeRefusalHead(HttpServerExchange exchange, Outcome outcome) {
        if (servesInstances && outcome == Outcome.NOT_RUN) {
            exchange.getResponseHeaders().put(dialect.notRun(), "1");
        }
    }

    /** Logs the end of a call if the dialect enables it. */
    void logCallEnd(
            RequestId request,
            CallResult result,
            int status,
            long arrivedNanos,
            long serverNanos,
            int tries) {
        if (dialect.logsCallEnds()) {
            long totalNanos = System.nanoTime() - arrivedNanos;
            CallLog.logCallEnd(request, result, status, totalNanos, serverNanos, tries);
        }
    }

    /**
     * Sets the request id on the response, and announces that the connection closes if the request
     * was not read completely or the instance is shutting down.
     */
    void completeResponseHead(HttpServerExchange exchange, RequestId request, boolean requestRead) {
        exchange.getResponseHeaders().put(dialect.requestId(), request.value());
        if (!requestRead || callers.isDraining()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }
}
