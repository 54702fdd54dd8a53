package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;

/** Reads the head of a checked request as a value for the state machine. */
final class CallHeads {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private CallHeads() {}

    static CallHead of(HttpServerExchange exchange, HttpDialect dialect, boolean bodyReplayable) {
        HeaderMap headers = exchange.getRequestHeaders();
        boolean tree = dialect.carriesCallTree();
        String organisation = tree ? text(headers, SnipeslipHeaders.ORGANISATION) : null;
        String key = tree ? text(headers, SnipeslipHeaders.IDEMPOTENCY_KEY) : null;
        String method = exchange.getRequestMethod().toString();
        String path = RequestTarget.path(exchange);
        return new CallHead(
                method,
                exchange.getHostName().toLowerCase(Locale.ROOT),
                path,
                organisation == null ? null : new OrganisationId(organisation),
                key == null ? null : new IdempotencyKey(key),
                key == null ? "" : fingerprint(exchange, method, path),
                number(headers, dialect.deadlineMillis(), 0) * NANOS_PER_MILLI,
                tree ? (int) number(headers, SnipeslipHeaders.DEPTH, 0) : 0,
                tree ? (int) number(headers, SnipeslipHeaders.RETRIES_LEFT, -1) : -1,
                bodyReplayable);
    }

    /** Only keyed calls need a fingerprint; the digest would be wasted on the others. */
    private static String fingerprint(HttpServerExchange exchange, String method, String path) {
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        String chunked = exchange.getRequestHeaders().getFirst(Headers.TRANSFER_ENCODING);
        String declared = length != null ? length : chunked != null ? "chunked" : "0";
        String text = String.join("\n", method, path, exchange.getQueryString(), declared);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] bytes = digest.digest(text.getBytes(StandardCharsets.ISO_8859_1));
            return HexFormat.of().formatHex(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static String text(HeaderMap headers, HttpString name) {
        String value = headers.getFirst(name);
        return value == null || value.isBlank() ? null : value;
    }

    private static long number(HeaderMap headers, HttpString name, long absent) {
        String value = headers.getFirst(name);
        return value == null ? absent : Long.parseLong(value);
    }
}
