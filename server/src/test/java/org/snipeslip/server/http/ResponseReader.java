package org.snipeslip.server.http;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The places where an instance reads responses. */
enum ResponseReader {
    /** A response of a backend server to a call. */
    CALL {
        @Override
        Outcome read(String request, FakeServer script) throws Exception {
            try (HttpFixture fixture = new HttpFixture()) {
                return call(fixture, request, fixture.backend, script);
            }
        }
    },

    /** A response that another instance has got and passes on. */
    PASSED_ON_CALL {
        @Override
        Outcome read(String request, FakeServer script) throws Exception {
            try (HttpFixture other = new HttpFixture();
                    HttpFixture fixture = new HttpFixture()) {
                fixture.engine.script(
                        event ->
                                event instanceof Event.CallArrived arrived
                                        ? List.of(
                                                ScriptedEngine.send(
                                                        arrived.request(), 1, other.self()))
                                        : fixture.engine.relayFirstTry(event));
                return call(fixture, request, other.backend, script);
            }
        }
    },

    /** A response to a health check, which has no body. */
    HEALTH_CHECK {
        @Override
        Outcome read(String request, FakeServer script) throws Exception {
            return probe(
                    (sender, target) ->
                            sender.send(
                                    new Action.SendProbe(new ServiceId("s"), target, "/health")),
                    Event.ProbeAnswered.class::isInstance,
                    script);
        }
    },

    /** A response to a test whether servers are reached at all, which any response passes. */
    LINK_TEST {
        @Override
        Outcome read(String request, FakeServer script) throws Exception {
            return probe(
                    (sender, target) ->
                            sender.test(new Action.TestLink(new ServiceId("s"), target, "/health")),
                    event -> event instanceof Event.LinkTested tested && tested.reached(),
                    script);
        }
    },

    /** A response of the store. */
    STORE {
        @Override
        Outcome read(String request, FakeServer script) throws Exception {
            XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
            DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024);
            try (FakeBackend server = new FakeBackend()) {
                CompletableFuture<Outcome> outcome = new CompletableFuture<>();
                URI origin =
                        URI.create("http://" + BackendConnectionPool.authority(server.server(4)));
                new SimpleHttpClient(worker.getIoThread(), buffers)
                        .send(
                                new SimpleHttpRequest(origin, "POST", "/", Map.of(), request),
                                30_000,
                                new SimpleHttpListener() {
                                    @Override
                                    public void responseReceived(
                                            int status, UnaryOperator<String> header, String text) {
                                        outcome.complete(Outcome.COMPLETE);
                                    }

                                    @Override
                                    public void failed(boolean sent, IOException cause) {
                                        outcome.complete(Outcome.FAILED);
                                    }
                                });
                return await(outcome, server, script);
            } finally {
                worker.shutdownNow();
            }
        }
    };

    /**
     * Sends one request and tells what becomes of its response.
     *
     * @param request body of the request; health checks have none
     * @param script answers the request
     */
    abstract Outcome read(String request, FakeServer script) throws Exception;

    private static Outcome call(
            HttpFixture fixture, String request, FakeBackend server, FakeServer script)
            throws Exception {
        try (RawSocket caller = fixture.caller()) {
            Thread writer = Thread.ofVirtual().start(() -> writeCall(caller, request));
            try (RawSocket connection = server.acceptRequest()) {
                script.respond(connection, server.server(4).id().value());
                RawSocket.Rest rest = caller.readRest();
                return rest.isCompleteResponse() && !rest.text().startsWith("HTTP/1.1 502 ")
                        ? Outcome.COMPLETE
                        : Outcome.FAILED;
            } finally {
                caller.close();
                writer.join();
            }
        }
    }

    private static void writeCall(RawSocket caller, String request) {
        try {
            caller.write(
                    "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                            + request.length()
                            + "\r\n\r\n"
                            + request);
        } catch (IOException e) {
            // The instance has closed the connection.
        }
    }

    private static Outcome probe(
            BiConsumer<ProbeSender, BackendServer> send,
            Predicate<Event> isAnswer,
            FakeServer script)
            throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024);
        try (FakeBackend server = new FakeBackend();
                BackendConnectionPool connections = new BackendConnectionPool(buffers, 1)) {
            CompletableFuture<Outcome> outcome = new CompletableFuture<>();
            ProbeSender sender =
                    new ProbeSender(
                            connections,
                            worker.getIoThread(),
                            buffers,
                            HttpFixture.namedDialect(LoadHeader::parse),
                            event ->
                                    outcome.complete(
                                            isAnswer.test(event)
                                                    ? Outcome.COMPLETE
                                                    : Outcome.FAILED));
            send.accept(sender, server.server(4));
            return await(outcome, server, script);
        } finally {
            worker.shutdownNow();
        }
    }

    private static Outcome await(
            CompletableFuture<Outcome> outcome, FakeBackend server, FakeServer script)
            throws Exception {
        try (RawSocket connection = server.acceptRequest()) {
            script.respond(connection, server.server(4).id().value());
            Outcome result = outcome.get(30, TimeUnit.SECONDS);
            if (result == Outcome.FAILED) {
                // Returns only when the connection has been closed.
                connection.readRest();
            }
            return result;
        }
    }

    /** The places that use what a response says. */
    static Stream<ResponseReader> ofContents() {
        return Stream.of(CALL, PASSED_ON_CALL, HEALTH_CHECK, STORE);
    }

    /** What became of a response. */
    enum Outcome {
        /** It was taken for a whole response. */
        COMPLETE,
        /** It was taken for broken, or for none. */
        FAILED
    }

    /** Answers one request, whose head has been read. */
    interface FakeServer {
        void respond(RawSocket connection, String serverId) throws IOException;
    }
}
