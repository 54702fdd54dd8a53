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

/** Serves the endpoints of the operator port: health, metrics, tables, members and decisions. */
public final class OperatorHandler implements HttpHandler {
    private static final String JSON = "application/json";

    private final Supplier<ConfigSet> configInForce;
    private final BooleanSupplier ready;
    private final InstanceMetrics metrics;
    private final RecentDecisions recentDecisions;
    private final ToIntFunction<BackendServer> openConnections;
    private final Supplier<String> membersReport;

    /**
     * Creates a handler.
     *
     * @param configInForce returns the configuration in force
     * @param ready returns whether the platform may send calls to this instance
     * @param metrics metrics of the instance
     * @param recentDecisions decisions that {@code /explain} looks up
     * @param openConnections returns the number of connections of this instance to a backend server
     * @param membersReport returns the text that {@code /members} sends, about members, object API
     *     calls and peer traffic
     */
    public OperatorHandler(
            Supplier<ConfigSet> configInForce,
            BooleanSupplier ready,
            InstanceMetrics metrics,
            RecentDecisions recentDecisions,
            ToIntFunction<BackendServer> openConnections,
            Supplier<String> membersReport) {
        this.configInForce = configInForce;
        this.ready = ready;
        this.metrics = metrics;
        this.recentDecisions = recentDecisions;
        this.openConnections = openConnections;
        this.membersReport = membersReport;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/live" -> exchange.getResponseSender().send("live\n");
            case "/ready" -> {
                exchange.setStatusCode(
                        ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
                exchange.getResponseSender()
                        .send("generation " + configInForce.get().generation() + "\n");
            }
            // Large responses are built on a worker thread, because an I/O thread would delay the
            // calls on its connections.
            case "/metrics" -> exchange.dispatch(this::sendMetrics);
            case "/tables" -> exchange.dispatch(this::sendTables);
            case "/members" ->
                    exchange.dispatch(e -> e.getResponseSender().send(membersReport.get()));
            case "/explain" -> exchange.dispatch(this::sendExplanation);
            default -> exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
        }
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusText.MEDIA_TYPE);
        exchange.getResponseSender().send(PrometheusText.format(metrics.registry()));
    }

    private void sendTables(HttpServerExchange exchange) {
        ConfigSet config = configInForce.get();
        ObjectNode tables = JsonNodeFactory.instance.objectNode();
        tables.put("generation", config.generation().number());
        tables.put("ready", ready.getAsBoolean());
        tables.put("openCalls", metrics.openCalls());
        ArrayNode services = tables.putArray("services");
        config.services().values().stream()
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
        recentDecisions
                .forRequest(request)
                .forEach(d -> found.add(mapper.valueToTree(DecisionFields.of(d))));
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
