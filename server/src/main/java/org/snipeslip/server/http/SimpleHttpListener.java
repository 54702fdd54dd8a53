package org.snipeslip.server.http;

import java.io.IOException;
import java.util.function.UnaryOperator;

/** Receives the result of an HTTP request that {@link SimpleHttpClient} sent. */
public interface SimpleHttpListener {
    /**
     * Called when the complete response has been received.
     *
     * @param status status code
     * @param header returns the first value of a header field, or null if the field is absent
     * @param body response body as text
     */
    void responseReceived(int status, UnaryOperator<String> header, String body);

    /**
     * Called when no complete response was received.
     *
     * @param sent whether any byte of the request may have been sent
     * @param cause reason, for example a timeout or a failed connection
     */
    void failed(boolean sent, IOException cause);
}
