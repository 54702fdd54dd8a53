package org.snipeslip.server.runtime;

import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpListener;
import org.snipeslip.server.http.SimpleHttpRequest;

/** Sends short requests to the internal ports of other instances. */
final class InstanceClient {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceClient.class);

    /** Ten round trips to another region. */
    private static final long TIMEOUT_MILLIS = 300;

    private static final int OK = 200;

    /** Messages are rare; idle connections to all instances would take memory. */
    private static final Map<String, String> HEADERS = Map.of("Connection", "close");

    private final SimpleHttpClient client;

    InstanceClient(SimpleHttpClient client) {
        this.client = client;
    }

    /** Sends a request; the consumer gets the body of a good response, or null. */
    void send(String address, String method, String target, Consumer<String> end) {
        send(address, method, target, "", end);
    }

    /** Sends a request with a body; the consumer gets the body of a good response, or null. */
    void send(String address, String method, String target, String text, Consumer<String> end) {
        URI origin = URI.create("http://" + address);
        send(new SimpleHttpRequest(origin, method, target, HEADERS, text), end);
    }

    /**
     * Sends one of many requests, which share a connection; the consumer gets the body of a good
     * response, or null.
     */
    void post(String address, String target, String body, Consumer<String> end) {
        URI origin = URI.create("http://" + address);
        send(new SimpleHttpRequest(origin, "POST", target, Map.of(), body), end);
    }

    private void send(SimpleHttpRequest request, Consumer<String> end) {
        client.send(
                request,
                TIMEOUT_MILLIS,
                new SimpleHttpListener() {
                    @Override
                    public void responseReceived(
                            int status, UnaryOperator<String> header, String body) {
                        end.accept(status == OK ? body : null);
                    }

                    @Override
                    public void failed(boolean sent, IOException cause) {
                        LOG.debug("instance {} was not reached", request.origin(), cause);
                        end.accept(null);
                    }
                });
    }
}
