package org.snipeslip.server.http;

import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;

/** Asks backend servers for their load with {@code GET /load}. */
public final class ProbeSender {
    private static final long TIMEOUT_MILLIS = 500;
    private static final int OK = 200;
    private static final String TARGET = "/load";

    /** Request line, Host and the line ends around them, beside path and host name. */
    private static final int REQUEST_BYTES = "GET  HTTP/1.1\r\nHost: \r\n\r\n".length();

    /** Status line, length and load header of a usual answer, beside their values and the body. */
    private static final int RESPONSE_BYTES =
            "HTTP/1.1 200 OK\r\nSnipeslip-Load: \r\nContent-Length: 0\r\n\r\n".length();

    private final HttpMessageClient client;
    private final Consumer<Event> events;

    /**
     * Creates a sender.
     *
     * @param client sends the requests
     * @param events takes the answers
     */
    public ProbeSender(HttpMessageClient client, Consumer<Event> events) {
        this.client = client;
        this.events = events;
    }

    /**
     * Sends a probe.
     *
     * @param order what to probe
     */
    public void send(Action.SendProbe order) {
        String authority = BackendConnections.authority(order.target());
        HttpMessage message =
                new HttpMessage(URI.create("http://" + authority), "GET", TARGET, Map.of(), "");
        int requestBytes = REQUEST_BYTES + TARGET.length() + authority.length();
        client.send(message, TIMEOUT_MILLIS, new Answer(order, requestBytes));
    }

    /** Turns the response to one probe into an event. */
    private final class Answer implements HttpMessageListener {
        private final Action.SendProbe order;
        private final int requestBytes;

        Answer(Action.SendProbe order, int requestBytes) {
            this.order = order;
            this.requestBytes = requestBytes;
        }

        @Override
        public void answered(int status, UnaryOperator<String> header, String body) {
            String value = header.apply(SnipeslipHeaders.LOAD.toString());
            LoadReport load = LoadHeader.parse(value);
            if (status != OK || !load.isKnown()) {
                failed(true, null);
                return;
            }
            long sizeBytes = requestBytes + RESPONSE_BYTES + value.length() + body.length();
            events.accept(
                    new Event.ProbeAnswered(order.service(), order.target().id(), load, sizeBytes));
        }

        @Override
        public void failed(boolean sent, IOException cause) {
            events.accept(new Event.ProbeFailed(order.service(), order.target().id()));
        }
    }
}
