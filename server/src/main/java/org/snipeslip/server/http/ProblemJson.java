package org.snipeslip.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;

/** Writes typed refusals as problem details (RFC 9457). The request's body is left unread. */
final class ProblemJson {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemJson() {}

    /** Sends a refusal of the state machine. */
    static void send(HttpServerExchange exchange, RequestId request, Refusal refusal) {
        int status = refusal.reason().status();
        ObjectNode problem =
                problem(
                        request,
                        status,
                        refusal.reason().text(),
                        refusal.outcome(),
                        refusal.sent());
        refusal.serveIn().stream()
                .sorted()
                .forEach(region -> problem.withArray("homeRegions").add(region.value()));
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        send(exchange, status, problem);
    }

    /** Sends the refusal of a request that is malformed or too large. */
    static void send(
            HttpServerExchange exchange, RequestId request, RequestFault fault, Outcome outcome) {
        boolean sent = outcome != Outcome.NOT_RUN;
        send(
                exchange,
                fault.status(),
                problem(request, fault.status(), fault.text(), outcome, sent));
    }

    private static ObjectNode problem(
            RequestId request, int status, String reason, Outcome outcome, boolean sent) {
        ObjectNode problem = MAPPER.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", reason);
        problem.put("status", status);
        problem.put("outcome", outcome.text());
        problem.put("thisSubmission", sent ? "unknown" : "not-sent");
        problem.put("reason", reason);
        problem.put("requestId", request.value());
        return problem;
    }

    private static void send(HttpServerExchange exchange, int status, ObjectNode problem) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MEDIA_TYPE);
        Responses.send(exchange, problem.toString().getBytes(StandardCharsets.UTF_8));
    }
}
