package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Set;

/** Copies header fields and leaves out those that concern one connection only (RFC 9110, 7.6.1). */
final class HopByHop {
    private static final Set<HttpString> FIXED =
            Set.of(
                    Headers.CONNECTION,
                    Headers.KEEP_ALIVE,
                    Headers.PROXY_AUTHENTICATE,
                    Headers.PROXY_AUTHORIZATION,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    new HttpString("Proxy-Connection"));

    private HopByHop() {}

    static void copyEndToEnd(HeaderMap from, HeaderMap to) {
        Set<HttpString> named = namedByConnection(from);
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            if (!FIXED.contains(name) && !named.contains(name)) {
                to.putAll(name, values);
            }
        }
    }

    private static Set<HttpString> namedByConnection(HeaderMap headers) {
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection == null) {
            return Set.of();
        }
        Set<HttpString> named = new HashSet<>();
        for (String value : connection) {
            for (String token : value.split(",")) {
                if (!token.isBlank()) {
                    named.add(HttpString.tryFromString(token.trim()));
                }
            }
        }
        return named;
    }
}
