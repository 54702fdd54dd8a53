package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Set;

/** Copies header fields except the hop-by-hop ones (RFC 9110 section 7.6.1). */
final class HopByHop {
    private static final Set<HttpString> HOP_BY_HOP_FIELDS =
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
        Set<HttpString> listedFields = fieldsListedInConnection(from);
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            if (!HOP_BY_HOP_FIELDS.contains(name) && !listedFields.contains(name)) {
                to.putAll(name, values);
            }
        }
    }

    private static Set<HttpString> fieldsListedInConnection(HeaderMap headers) {
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection == null) {
            return Set.of();
        }
        Set<HttpString> listedFields = new HashSet<>();
        for (String value : connection) {
            for (String token : value.split(",")) {
                if (!token.isBlank()) {
                    listedFields.add(HttpString.tryFromString(token.trim()));
                }
            }
        }
        return listedFields;
    }
}
