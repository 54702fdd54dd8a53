package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Rejects requests whose framing, host or target two HTTP parsers could interpret differently
 * (request smuggling, RFC 9112 section 11.2), and requests that exceed the size limits.
 */
final class RequestValidator {
    /** Colon, space and CRLF of a header line. */
    private static final int LINE_OVERHEAD_BYTES = 4;

    /** Any number of 18 digits fits into a long. */
    private static final int MAX_NUMBER_DIGITS = 18;

    private static final List<HttpString> CALL_TREE_HEADERS =
            List.of(SnipeslipHeaders.DEPTH, SnipeslipHeaders.RETRIES_LEFT);

    private final Supplier<CallLimits> limits;
    private final List<HttpString> numericHeaders;

    RequestValidator(Supplier<CallLimits> limits, HttpDialect dialect) {
        this.limits = limits;
        this.numericHeaders = new ArrayList<>(List.of(dialect.deadlineMillis()));
        if (dialect.propagatesCallTree()) {
            numericHeaders.addAll(CALL_TREE_HEADERS);
        }
    }

    /** Returns the first fault found, or null if the request is valid. */
    RequestFault validate(HttpServerExchange exchange) {
        RequestFault fault = checkSizes(exchange);
        if (isFolded(exchange)) {
            return RequestFault.OBSOLETE_LINE_FOLDING;
        }
        if (fault == null) {
            fault = checkFraming(exchange.getRequestHeaders());
        }
        if (fault == null) {
            fault = checkTarget(exchange);
        }
        return fault == null ? checkHeaderValues(exchange.getRequestHeaders()) : fault;
    }

    private static boolean isFolded(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getOriginalSourceConduit() instanceof LineFoldingDetector detector
                && detector.isFolded();
    }

    private RequestFault checkSizes(HttpServerExchange exchange) {
        int uriBytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
        if (uriBytes > limits.get().maxUriBytes()) {
            return RequestFault.URI_TOO_LONG;
        }
        long bytes = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            int nameBytes = values.getHeaderName().length() + LINE_OVERHEAD_BYTES;
            for (int i = 0; i < values.size(); i++) {
                bytes += nameBytes + values.get(i).length();
            }
        }
        return bytes > limits.get().maxHeaderBytes() ? RequestFault.HEADERS_TOO_LARGE : null;
    }

    private RequestFault checkFraming(HeaderMap headers) {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (codings != null && lengths != null) {
            return RequestFault.AMBIGUOUS_FRAMING;
        }
        if (codings != null) {
            boolean chunked = codings.size() == 1 && "chunked".equalsIgnoreCase(codings.get(0));
            return chunked ? null : RequestFault.INVALID_TRANSFER_CODING;
        }
        if (lengths == null) {
            return null;
        }
        if (lengths.size() > 1) {
            return RequestFault.AMBIGUOUS_FRAMING;
        }
        if (!isDecimalNumber(lengths.get(0))) {
            return RequestFault.INVALID_CONTENT_LENGTH;
        }
        return Long.parseLong(lengths.get(0)) > limits.get().maxBodyBytes()
                ? RequestFault.BODY_TOO_LARGE
                : null;
    }

    private static boolean isDecimalNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_NUMBER_DIGITS) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    private static RequestFault checkTarget(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.CONNECT)) {
            return RequestFault.METHOD_NOT_OFFERED;
        }
        HeaderValues hosts = exchange.getRequestHeaders().get(Headers.HOST);
        if (hosts == null) {
            return exchange.getProtocol().equals(Protocols.HTTP_1_0)
                    ? null
                    : RequestFault.INVALID_HOST;
        }
        if (hosts.size() > 1 || !isValidHost(hosts.get(0))) {
            return RequestFault.INVALID_HOST;
        }
        return RequestTarget.isValid(exchange) ? null : RequestFault.INVALID_TARGET;
    }

    private static boolean isValidHost(String host) {
        if (host.isEmpty()) {
            return false;
        }
        for (int i = 0; i < host.length(); i++) {
            char c = host.charAt(i);
            boolean allowed =
                    c >= '0' && c <= '9'
                            || c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || ".-_:[]".indexOf(c) >= 0;
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    private RequestFault checkHeaderValues(HeaderMap headers) {
        for (HttpString name : numericHeaders) {
            HeaderValues values = headers.get(name);
            if (values != null && (values.size() > 1 || !isNonNegativeInt(values.get(0)))) {
                return RequestFault.INVALID_NUMBER;
            }
        }
        HeaderValues expect = headers.get(Headers.EXPECT);
        if (expect != null
                && (expect.size() > 1 || !"100-continue".equalsIgnoreCase(expect.get(0)))) {
            return RequestFault.EXPECTATION_FAILED;
        }
        for (HeaderValues values : headers) {
            for (int i = 0; i < values.size(); i++) {
                if (containsControlCharacter(values.get(i))) {
                    return RequestFault.INVALID_HEADER;
                }
            }
        }
        return null;
    }

    private static boolean isNonNegativeInt(String text) {
        return isDecimalNumber(text) && Long.parseLong(text) <= Integer.MAX_VALUE;
    }

    private static boolean containsControlCharacter(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return true;
            }
        }
        return false;
    }
}
