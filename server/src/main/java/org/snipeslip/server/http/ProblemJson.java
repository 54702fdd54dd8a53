package org.snipeslip.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;

/** Writes typed refusals as problem details (RFC 9457). */
final class ProblemJson {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemJson() {}

    static void send(HttpServerExchange exchange, RequestId request, Refusal refusal) {
        ObjectNode problem = MAPPER.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", refusal.reason().text());
        problem.put("status", refusal.reason().status());
        problem.put("outcome", refusal.outcome().text());
        problem.put("thisSubmission", refusal.sent() ? "unknown" : "not-sent");
        problem.put("reason", refusal.reason().text());
        problem.put("requestId", request.value());
        if (!refusal.serveIn().isEmpty()) {
            refusal.serveIn().stream()
                    .sorted()
                    .forEach(region -> problem.withArray("homeRegions").add(region.value()));
        }
        exchange.setStatusCode(refusal.reason().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MEDIA_TYPE);
        exchange.getResponseHeaders().put(SnipeslipHeaders.REQUEST_ID, request.value());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        exchange.getResponseSender().send(problem.toString());
    }
}
