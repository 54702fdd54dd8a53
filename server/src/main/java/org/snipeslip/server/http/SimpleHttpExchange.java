package org.snipeslip.server.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Sends one small request on an open connection and reads the complete response into memory. */
final class SimpleHttpExchange {
    private final ClientConnection connection;
    private final ResponseConduit responses;
    private final ByteBufferPool buffers;
    private final Listener listener;

    /** Null before the head of the response has arrived. */
    private BodyReader body;

    SimpleHttpExchange(
            ClientConnection connection,
            ResponseConduit responses,
            ByteBufferPool buffers,
            Listener listener) {
        this.connection = connection;
        this.responses = responses;
        this.buffers = buffers;
        this.listener = listener;
    }

    /** Returns how much of the response has arrived: its head counts as one byte. */
    long receivedBytes() {
        return body == null ? 0 : 1 + body.receivedBytes();
    }

    void send(SimpleHttpRequest httpRequest) {
        responses.requestSent();
        byte[] requestBody = httpRequest.body().getBytes(StandardCharsets.UTF_8);
        ClientRequest request = new ClientRequest();
        request.setMethod(HttpString.tryFromString(httpRequest.method()));
        request.setPath(httpRequest.target());
        request.getRequestHeaders().put(Headers.HOST, httpRequest.origin().getAuthority());
        httpRequest
                .headers()
                .forEach(
                        (name, value) ->
                                request.getRequestHeaders().put(new HttpString(name), value));
        if (requestBody.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, requestBody.length);
        }
        connection.sendRequest(
                request,
                new Callback() {
                    @Override
                    public void completed(ClientExchange exchange) {
                        requestSent(exchange, httpRequest.body());
                    }
                });
    }

    private void requestSent(ClientExchange exchange, String requestBody) {
        exchange.setResponseListener(
                new Callback() {
                    @Override
                    public void completed(ClientExchange responded) {
                        readResponse(responded);
                    }
                });
        if (!requestBody.isEmpty()) {
            new StringWriteChannelListener(requestBody, StandardCharsets.UTF_8)
                    .setup(exchange.getRequestChannel());
        }
    }

    private void readResponse(ClientExchange exchange) {
        try {
            responses.headReceived(ResponseValidator.hasChunkedBody(exchange));
            requireWellFramed(exchange.getResponse());
        } catch (IOException e) {
            listener.failed(e);
            return;
        }
        body =
                new BodyReader(
                        buffers,
                        text -> listener.responseReceived(exchange.getResponse(), text),
                        listener::failed);
        body.start(exchange.getResponseChannel());
    }

    private static void requireWellFramed(ClientResponse response) throws IOException {
        if (!ResponseValidator.isWellFramed(response)) {
            throw new MalformedResponseException(
                    "the status %d or the framing of a response is not valid"
                            .formatted(response.getResponseCode()));
        }
    }

    /** Reports connection failures to the listener. */
    private abstract class Callback implements ClientCallback<ClientExchange> {
        @Override
        public void failed(IOException e) {
            listener.failed(e);
        }
    }

    /** Receives the response or the failure. */
    interface Listener {
        void responseReceived(ClientResponse response, String body);

        void failed(IOException e);
    }
}
