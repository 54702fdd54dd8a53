package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Extracts the raw request target, undecoded, so that the backend server gets the caller's bytes.
 */
final class RequestTarget {
    private static final String SCHEME_END = "://";

    private RequestTarget() {}

    /** Returns the raw path without the query. */
    static String path(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        int slash = uri.indexOf('/', uri.indexOf(SCHEME_END) + SCHEME_END.length());
        return slash < 0 ? "/" : uri.substring(slash);
    }

    /** Returns the raw path and query. */
    static String pathAndQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? path(exchange) : path(exchange) + "?" + query;
    }

    /**
     * Returns whether the target is a path, "*", or an absolute URI whose authority equals Host.
     */
    static boolean isValid(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri.startsWith("/") || uri.equals("*");
        }
        int start = uri.indexOf(SCHEME_END);
        if (start < 0) {
            return false;
        }
        int slash = uri.indexOf('/', start + SCHEME_END.length());
        String authority =
                uri.substring(start + SCHEME_END.length(), slash < 0 ? uri.length() : slash);
        return authority.equalsIgnoreCase(exchange.getRequestHeaders().getFirst(Headers.HOST));
    }
}
