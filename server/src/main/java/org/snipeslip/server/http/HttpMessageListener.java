package org.snipeslip.server.http;

import java.io.IOException;
import java.util.function.UnaryOperator;

/** Takes the result of a small HTTP request. */
public interface HttpMessageListener {
    /**
     * The whole response arrived.
     *
     * @param status status code
     * @param header gives the first value of a header field, or null
     * @param body text
     */
    void answered(int status, UnaryOperator<String> header, String body);

    /**
     * No whole response arrived.
     *
     * @param sent whether any byte of the request may have been sent
     * @param cause the failure
     */
    void failed(boolean sent, IOException cause);
}
