package org.snipeslip.server.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.server.log.DecisionFields;
import org.snipeslip.server.log.RecentDecisions;

/** Serves the operator port. */
public final class OperatorHandler implements HttpHandler {
    private static final String JSON = "application/json";

    private final Supplier<ConfigSet> config;
    private final BooleanSupplier ready;
    private final ServerMetrics metrics;
    private final RecentDecisions decisions;
    private final ToIntFunction<BackendServer> openConnections;
    private final Supplier<String> members;

    /**
     * Creates a handler.
     *
     * @param config gives the configuration in force
     * @param ready tells whether the platform may send calls here
     * @param metrics the metrics
     * @param decisions recent decisions, for explanations
     * @param openConnections counts this instance's connections to a backend server
     * @param members tells of members, object API budget and peer traffic, one fact a line
     */
    public OperatorHandler(
            Supplier<ConfigSet> config,
            BooleanSupplier ready,
            ServerMetrics metrics,
            RecentDecisions decisions,
            ToIntFunction<BackendServer> openConnections,
            Supplier<String> members) {
        this.config = config;
        this.ready = ready;
        this.metrics = metrics;
        this.decisions = decisions;
        this.openConnections = openConnections;
        this.members = members;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/live" -> exchange.getResponseSender().send("live\n");
            case "/ready" -> {
                exchange.setStatusCode(
                        ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
                exchange.getResponseSender().send("generation " + config.get().generation() + "\n");
            }
            // Large texts are built on a worker thread; an I/O thread would delay its calls.
            case "/metrics" -> exchange.dispatch(this::sendMetrics);
            case "/tables" -> exchange.dispatch(this::sendTables);
            case "/members" -> exchange.dispatch(e -> e.getResponseSender().send(members.get()));
            case "/explain" -> exchange.dispatch(this::sendExplanation);
            default -> exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
        }
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusText.MEDIA_TYPE);
        exchange.getResponseSender().send(PrometheusText.of(metrics.registry()));
    }

    private void sendTables(HttpServerExchange exchange) {
        ConfigSet inForce = config.get();
        ObjectNode tables = JsonNodeFactory.instance.objectNode();
        tables.put("generation", inForce.generation().number());
        tables.put("ready", ready.getAsBoolean());
        tables.put("openCalls", metrics.openCalls());
        ArrayNode services = tables.putArray("services");
        inForce.services().values().stream()
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .forEach(service -> appendService(services.addObject(), service));
        sendJson(exchange, tables);
    }

    private void appendService(ObjectNode node, Service service) {
        node.put("name", service.id().value());
        ArrayNode servers = node.putArray("backendServers");
        for (BackendServer server : service.backendServers()) {
            servers.addObject()
                    .put("name", server.id().value())
                    .put("failureDomain", server.failureDomain().value())
                    .put("slots", server.slots())
                    .put("draining", server.draining())
                    .put("openConnections", openConnections.applyAsInt(server));
        }
    }

    private void sendExplanation(HttpServerExchange exchange) {
        Deque<String> requests = exchange.getQueryParameters().get("request");
        if (requests == null || requests.getFirst().isBlank()) {
            exchange.setStatusCode(StatusCodes.BAD_REQUEST).endExchange();
            return;
        }
        RequestId request = new RequestId(requests.getFirst());
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode explanation = mapper.createObjectNode();
        explanation.put("request", request.value());
        ArrayNode found = explanation.putArray("decisions");
        decisions.of(request).forEach(d -> found.add(mapper.valueToTree(DecisionFields.of(d))));
        if (found.isEmpty()) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND);
        }
        sendJson(exchange, explanation);
    }

    private void sendJson(HttpServerExchange exchange, ObjectNode node) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(node.toPrettyString() + "\n");
    }
}
