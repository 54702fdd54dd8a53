package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Locale;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.call.Handover;
import org.snipeslip.core.id.ApiKeyDigest;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;

/** Converts the head of a validated request into the form that the state machine uses. */
final class CallHeadParser {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Longer than any key; bounds the work for one that is none. */
    private static final int MAX_KEY_LENGTH = 1_024;

    private CallHeadParser() {}

    /**
     * Converts a head.
     *
     * @param waitedNanos time for which the request has waited for its body
     * @param handover what another instance states that has passed the call, or null
     */
    static CallHead parse(
            HttpServerExchange exchange,
            HttpDialect dialect,
            RequestBody body,
            long waitedNanos,
            Handover handover) {
        HeaderMap headers = exchange.getRequestHeaders();
        boolean hasCallTree = dialect.propagatesCallTree();
        String organisation =
                hasCallTree ? textHeader(headers, SnipeslipHeaders.ORGANISATION) : null;
        String key = hasCallTree ? textHeader(headers, SnipeslipHeaders.IDEMPOTENCY_KEY) : null;
        String method = exchange.getRequestMethod().toString();
        String path = RequestTarget.path(exchange);
        return new CallHead(
                method,
                exchange.getHostName().toLowerCase(Locale.ROOT),
                path,
                organisation == null ? null : new OrganisationId(organisation),
                key == null ? null : new IdempotencyKey(key),
                key == null ? "" : fingerprint(exchange, method, path),
                remainingNanos(headers, dialect, waitedNanos),
                hasCallTree ? (int) numericHeader(headers, SnipeslipHeaders.DEPTH, 0) : 0,
                retriesLeft(headers, hasCallTree, handover),
                body.isReplayable(),
                new HttpRequestIdentity(exchange, body),
                handover,
                takeKey(headers, dialect));
    }

    /**
     * Removes the caller's API key from the request and returns its digest, or null if there is not
     * exactly one key. The text is kept nowhere.
     */
    private static ApiKeyDigest takeKey(HeaderMap headers, HttpDialect dialect) {
        Collection<String> values =
                dialect.apiKey() == null ? null : headers.remove(dialect.apiKey());
        if (values == null || values.size() != 1) {
            return null;
        }
        String key = values.iterator().next().trim();
        return key.isEmpty() || key.length() > MAX_KEY_LENGTH ? null : ApiKeyDigest.ofKey(key);
    }

    /** Returns the time until the caller's deadline, or 0 if it states none. */
    static long deadlineMillis(HttpServerExchange exchange, HttpDialect dialect) {
        return numericHeader(exchange.getRequestHeaders(), dialect.deadlineMillis(), 0);
    }

    private static long remainingNanos(HeaderMap headers, HttpDialect dialect, long waitedNanos) {
        long nanos = numericHeader(headers, dialect.deadlineMillis(), 0) * NANOS_PER_MILLI;
        return nanos == 0 ? 0 : Math.max(1, nanos - waitedNanos);
    }

    private static int retriesLeft(HeaderMap headers, boolean hasCallTree, Handover handover) {
        if (handover != null) {
            return handover.retriesLeft();
        }
        return hasCallTree ? (int) numericHeader(headers, SnipeslipHeaders.RETRIES_LEFT, -1) : -1;
    }

    /**
     * Hashes method, path, query and declared length, to detect an idempotency key that is reused
     * for another request. Computed only for calls with a key, to save the cost of the digest.
     */
    private static String fingerprint(HttpServerExchange exchange, String method, String path) {
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        String chunked = exchange.getRequestHeaders().getFirst(Headers.TRANSFER_ENCODING);
        String declaredLength = length != null ? length : chunked != null ? "chunked" : "0";
        String text = String.join("\n", method, path, exchange.getQueryString(), declaredLength);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] bytes = digest.digest(text.getBytes(StandardCharsets.ISO_8859_1));
            return HexFormat.of().formatHex(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, which every Java platform must provide", e);
        }
    }

    private static String textHeader(HeaderMap headers, HttpString name) {
        String value = headers.getFirst(name);
        return value == null || value.isBlank() ? null : value;
    }

    private static long numericHeader(HeaderMap headers, HttpString name, long defaultValue) {
        String value = headers.getFirst(name);
        return value == null ? defaultValue : Long.parseLong(value);
    }
}
