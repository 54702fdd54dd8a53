package org.snipeslip.server.http;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/** Rejects responses whose length two HTTP parsers could determine differently. */
final class ResponseValidator {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private ResponseValidator() {}

    /** Returns whether the response is final and its framing unambiguous. */
    static boolean isWellFramed(ClientResponse response) {
        int status = response.getResponseCode();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return false;
        }
        HeaderMap headers = response.getResponseHeaders();
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (codings != null) {
            return lengths == null
                    && codings.size() == 1
                    && "chunked".equalsIgnoreCase(codings.get(0));
        }
        return lengths == null || lengths.size() == 1 && isNumber(lengths.get(0));
    }

    /** Returns whether a body in the chunked coding follows the head of the response. */
    static boolean hasChunkedBody(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        return response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
                && !isBodiless(response.getResponseCode())
                && !Methods.HEAD.equals(exchange.getRequest().getMethod());
    }

    /** Returns whether the status forbids a body, regardless of the header fields. */
    static boolean isBodiless(int status) {
        return status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED;
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
