package org.snipeslip.server.http;

import java.net.URI;
import java.util.Map;

/**
 * A small HTTP request.
 *
 * @param origin scheme, host and port
 * @param method HTTP method
 * @param target path and query, encoded
 * @param headers header fields
 * @param body text, empty for none
 */
public record HttpMessage(
        URI origin, String method, String target, Map<String, String> headers, String body) {
    /** Copies the map. */
    public HttpMessage {
        headers = Map.copyOf(headers);
    }
}
