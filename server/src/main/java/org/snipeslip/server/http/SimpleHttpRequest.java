package org.snipeslip.server.http;

import java.net.URI;
import java.util.Map;

/**
 * An HTTP request with a small text body that is held in memory.
 *
 * @param origin scheme, host and port
 * @param method HTTP method
 * @param target path and query, already percent-encoded
 * @param headers header fields
 * @param body text, sent as UTF-8; empty for a request without a body
 */
public record SimpleHttpRequest(
        URI origin, String method, String target, Map<String, String> headers, String body) {
    /** Makes an immutable copy of the header fields. */
    public SimpleHttpRequest {
        headers = Map.copyOf(headers);
    }
}
