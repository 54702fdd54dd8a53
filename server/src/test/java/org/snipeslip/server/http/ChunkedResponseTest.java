package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Event;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against a broken response in the chunked coding that a recipient takes for complete. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ChunkedResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String ERROR_RESPONSE =
            "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    /** A body with several chunks, an extension and a trailer. */
    private static final String BODY =
            "3\r\nabc\r\n0A;x=\"y\"\r\nklmnopqrst\r\n1\r\nz\r\n0\r\nX-Trailer: 1\r\n\r\n";

    private static final String DECODED = "abcklmnopqrstz";

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Bytes that are no chunk, where the next chunk is due, must break the caller's response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                ERROR_RESPONSE,
                "\r\n\r\n",
                "\r\n0\r\n\r\n",
                "xyz\r\n\r\n",
                " \r\n\r\n",
                ";a=b\r\n\r\n",
                "-0\r\n\r\n",
                "+0\r\n\r\n",
                "0x0\r\n\r\n",
                " 0\r\n\r\n",
                "0 \r\n\r\n",
                "0\n\n",
                "0\n\r\n",
                "0\r\n\n",
                "0\r\r\n\r\n",
                "3\r\nabcXX\r\n0\r\n\r\n",
                "3\r\nabc0\r\n\r\n",
                "3\nabc\r\n0\r\n\r\n",
                "3\r\nabc\n0\r\n\r\n",
                "0000000000000000\r\n\r\n",
                "10000000000000000\r\n\r\n",
                "ffffffffffffffff\r\n0\r\n\r\n",
                "0\r\n folded\r\n\r\n",
                "0\r\nX-Trailer: 1\n\r\n",
                "0;\u0001\r\n\r\n",
            })
    void malformedChunkIsNotTakenForTheEnd(String spoiled) throws Exception {
        for (boolean inOnePacket : new boolean[] {true, false}) {
            try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
                RawSocket backend = fixture.backend.acceptRequest();
                if (inOnePacket) {
                    backend.write(HEAD + "3\r\nabc\r\n" + spoiled);
                } else {
                    backend.write(HEAD + "3\r\nabc\r\n");
                    caller.readHead();
                    caller.read("3\r\nabc\r\n".length());
                    backend.write(spoiled);
                }
                backend.close();
                assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                        .isEqualTo(TryFailure.MALFORMED_BODY);
                assertThat(caller.readRest().text())
                        .doesNotEndWith("0\r\n\r\n")
                        .doesNotContain("\r\n0\r\n");
            }
        }
    }

    /** A body that ends at any byte, by close or reset, must break the caller's response. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyThatEndsAtAnyByteIsNotComplete(boolean reset) throws Exception {
        for (int length = 0; length < BODY.length(); length++) {
            try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
                RawSocket backend = fixture.backend.acceptRequest();
                backend.write(HEAD + BODY.substring(0, length));
                if (reset) {
                    backend.reset();
                } else {
                    backend.close();
                }
                Event.TryFailed failed = fixture.engine.await(Event.TryFailed.class);
                assertThat(failed.failure())
                        .describedAs("cut after %s bytes", length)
                        .isIn(TryFailure.BROKEN_BODY, TryFailure.BROKEN_BEFORE_HEAD);
                assertThat(caller.readRest().text())
                        .describedAs("cut after %s bytes", length)
                        .doesNotContain("\r\n0\r\n");
            }
        }
    }

    /** A whole body must be passed on whole, however its packets are divided, and end there. */
    @ParameterizedTest
    @MethodSource("seeds")
    void wholeBodyIsRelayedAndItsConnectionReused(long seed) throws Exception {
        Random random = new Random(seed);
        try (RawSocket caller = fixture.call(HttpFixture.get("/0"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            for (int i = 1; i <= 4; i++) {
                String response = HEAD + BODY;
                for (int from = 0; from < response.length(); ) {
                    int to = Math.min(response.length(), from + 1 + random.nextInt(60));
                    backend.write(response.substring(from, to));
                    from = to;
                }
                assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
                assertThat(readChunked(caller)).isEqualTo(DECODED);
                caller.write(HttpFixture.get("/" + i));
                assertThat(backend.readHead()).startsWith("GET /" + i + " ");
            }
        }
    }

    static IntStream seeds() {
        return IntStream.range(0, 20);
    }

    /** A response after the last chunk belongs to no request; its connection must not be reused. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void bytesAfterTheLastChunkAreNotTheNextResponse(boolean inOnePacket) throws Exception {
        String extra = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            if (inOnePacket) {
                backend.write(HEAD + BODY + extra);
            } else {
                backend.write(HEAD + BODY);
                backend.write(extra);
            }
            caller.readHead();
            assertThat(readChunked(caller)).isEqualTo(DECODED);
            fixture.engine.await(Event.TryCompleted.class);
            assertThat(backend.readRest().text()).isEmpty();
            caller.write(HttpFixture.get("/b"));
            fixture.backend
                    .acceptRequest()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
            caller.readHead();
            assertThat(caller.read(3)).isEqualTo("new");
        }
    }

    /**
     * A list of the store or an answer to a probe that broke off must not read as a shorter one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\r\n[]\r\n" + ERROR_RESPONSE,
                "2\r\n[]\r\n\r\n\r\n",
                "2\r\n[]XX\r\n0\r\n\r\n",
                "2\r\n[]\r\nxyz\r\n\r\n",
                "2\r\n[]\r\n0\r\n",
                "2\r\n[]\r\n"
            })
    void brokenAnswerOfTheStoreIsNotReadAsComplete(String body) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        try (FakeBackend store = new FakeBackend();
                DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024)) {
            CompletableFuture<String> result = new CompletableFuture<>();
            URI origin = URI.create("http://" + BackendConnectionPool.authority(store.server(1)));
            new SimpleHttpClient(worker.getIoThread(), buffers)
                    .send(
                            new SimpleHttpRequest(origin, "GET", "/", Map.of(), ""),
                            30_000,
                            new SimpleHttpListener() {
                                @Override
                                public void responseReceived(
                                        int status, UnaryOperator<String> header, String text) {
                                    result.complete("received " + text);
                                }

                                @Override
                                public void failed(boolean sent, IOException cause) {
                                    result.complete("failed");
                                }
                            });
            try (RawSocket connection = store.acceptRequest()) {
                connection.write(HEAD + body);
            }
            assertThat(result.get(30, TimeUnit.SECONDS)).isEqualTo("failed");
        } finally {
            worker.shutdownNow();
        }
    }

    /** Reads chunks up to the last one; returns their data. */
    private static String readChunked(RawSocket socket) throws IOException {
        List<String> data = new ArrayList<>();
        while (true) {
            StringBuilder line = new StringBuilder();
            while (!line.toString().endsWith("\r\n")) {
                line.append(socket.read(1));
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            if (size == 0) {
                assertThat(socket.read(2)).isEqualTo("\r\n");
                return String.join("", data);
            }
            data.add(socket.read(size));
            assertThat(socket.read(2)).isEqualTo("\r\n");
        }
    }
}
