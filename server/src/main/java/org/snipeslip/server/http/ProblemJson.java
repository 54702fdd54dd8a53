package org.snipeslip.server.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.List;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;

/** Writes typed refusals as problem details (RFC 9457). The request's body is left unread. */
final class ProblemJson {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int MILLI_DIGITS = 3;
    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemJson() {}

    /** Sends a refusal that the state machine decided on. */
    static void send(
            HttpServerExchange exchange, RequestId request, Refusal refusal, HttpDialect dialect) {
        int status = refusal.status();
        List<String> allowedRegions =
                refusal.allowedRegions().stream().sorted().map(region -> region.value()).toList();
        if (refusal.retryAfterMillis() > 0) {
            exchange.getResponseHeaders()
                    .put(
                            Headers.RETRY_AFTER,
                            retryAfterSeconds(refusal.retryAfterMillis(), dialect));
        }
        send(
                exchange,
                status,
                problem(
                        request,
                        status,
                        refusal.reason().text(),
                        refusal.outcome(),
                        refusal.mayHaveSent(),
                        allowedRegions));
    }

    /** Formats Retry-After; whole seconds are rounded up. */
    private static String retryAfterSeconds(long millis, HttpDialect dialect) {
        if (dialect.fractionalRetryAfter()) {
            return BigDecimal.valueOf(millis, MILLI_DIGITS).toPlainString();
        }
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /** Sends the response to a request that is malformed or too large. */
    static void send(
            HttpServerExchange exchange, RequestId request, RequestFault fault, Outcome outcome) {
        boolean sent = outcome != Outcome.NOT_RUN;
        send(
                exchange,
                fault.status(),
                problem(request, fault.status(), fault.reason(), outcome, sent, List.of()));
    }

    private static byte[] problem(
            RequestId request,
            int status,
            String reason,
            Outcome outcome,
            boolean sent,
            List<String> allowedRegions) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("type", "about:blank");
            json.writeStringField("title", reason);
            json.writeNumberField("status", status);
            json.writeStringField("outcome", outcome.text());
            json.writeStringField("thisSubmission", sent ? "unknown" : "not-sent");
            json.writeStringField("reason", reason);
            json.writeStringField("requestId", request.value());
            if (!allowedRegions.isEmpty()) {
                json.writeArrayFieldStart("homeRegions");
                for (String region : allowedRegions) {
                    json.writeString(region);
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "cannot write problem JSON, although the target is in memory", e);
        }
        return bytes.toByteArray();
    }

    private static void send(HttpServerExchange exchange, int status, byte[] problem) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MEDIA_TYPE);
        Responses.send(exchange, problem);
    }
}
