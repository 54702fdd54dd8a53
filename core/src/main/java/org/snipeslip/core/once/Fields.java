package org.snipeslip.core.once;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Fields of stored lines: percent-encoded, so that none holds a separator. */
final class Fields {
    private Fields() {}

    static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    static String unescape(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
