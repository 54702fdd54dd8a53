package org.snipeslip.core.idempotency;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent-encodes the fields of stored text, so that no field contains a separator. */
final class FieldEscaper {
    private FieldEscaper() {}

    static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    static String unescape(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
