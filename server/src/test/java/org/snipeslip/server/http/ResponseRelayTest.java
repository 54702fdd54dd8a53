package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;

/**
 * Tests the relaying of responses that are complete, truncated, malformed or followed by extra
 * bytes.
 */
class ResponseRelayTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a truncated response that the caller receives as a complete one. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'Content-Length: 10\r\n\r\nabc' | BROKEN_BODY",
                "'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n' | BROKEN_BODY",
                "'Transfer-Encoding: chunked\r\n\r\n5\r\nabc' | BROKEN_BODY",
                "'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n' | BROKEN_BODY",
                "'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n' | MALFORMED_BODY",
            })
    void truncatedResponseIsNotReceivedAsComplete(String headAndBody, TryFailure expected)
            throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write("HTTP/1.1 200 OK\r\n" + headAndBody);
            backend.close();
            Event.TryFailed failed = fixture.engine.await(Event.TryFailed.class);
            assertThat(failed.failure()).isEqualTo(expected);
            RawSocket.Rest rest = caller.readRest();
            assertThat(rest.text()).doesNotEndWith("0\r\n\r\n").doesNotContain("\r\n0\r\n");
            assertThat(rest.text()).doesNotContain("abc1234567");
        }
    }

    /** Guards against chunks for a caller that cannot read them; a break is a reset there. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callerOfHttp10GetsNoChunks(boolean broken) throws Exception {
        try (RawSocket caller = fixture.call("GET /a HTTP/1.0\r\nHost: h\r\n\r\n")) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write("HTTP/1.1 200 OK\r\n\r\nabc");
            fixture.engine.await(Event.TryAnswered.class);
            if (broken) {
                backend.reset();
            } else {
                backend.close();
            }
            RawSocket.Rest rest = caller.readRest();
            assertThat(rest.text()).doesNotContain("Transfer-Encoding", "0\r\n\r\n");
            assertThat(rest.isCompleteResponse()).isEqualTo(!broken);
            assertThat(rest.text().endsWith("\r\n\r\nabc") || broken).isTrue();
        }
    }

    /** Guards against a head that ends early and reaches the caller as a complete response. */
    @ParameterizedTest
    @CsvSource({
        "'Content-Length: 12\r\nX: y\r\n\r\n', false", "'Content-Length: 12\r\nX: y\r\n\r\n', true",
        "'Transfer-Encoding: chunked\r\n\r\n', false", "'Connection: close\r\n\r\n', false",
        "'Content-Length: 0\r\n\r\n', false", "'X: y\r\nConnection: close\r\n\r\n', true"
    })
    void headThatEndsAtAnyByteIsNotRelayed(String fields, boolean reset) throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + fields;
        for (int length = 0; length < head.length(); length++) {
            try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
                RawSocket backend = fixture.backend.acceptRequest();
                backend.write(head.substring(0, length));
                if (reset) {
                    backend.reset();
                } else {
                    backend.close();
                }
                assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                        .describedAs("head cut after %s of %s bytes", length, head.length())
                        .isEqualTo(TryFailure.BROKEN_BEFORE_HEAD);
                assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
            }
        }
    }

    /**
     * Guards against outcome "not run", and against a hanging call, when the response is not HTTP
     * or the connection fails within the response head.
     */
    @ParameterizedTest
    @CsvSource({
        "'', BROKEN_BEFORE_HEAD",
        "'HTTP/1.1 200 OK\r\nContent-Le', BROKEN_BEFORE_HEAD",
        "'garbage garbage\r\n\r\n', BROKEN_BEFORE_HEAD",
        "'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',"
                + "MALFORMED",
        "'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc', MALFORMED",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n', MALFORMED",
        "'HTTP/1.1 103 Early Hints\r\n\r\n', MALFORMED",
    })
    void invalidResponseHeadHasUnknownOutcome(String response, TryFailure expected)
            throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write(response);
            backend.close();
            assertThat(fixture.engine.await(Event.TryFailed.class).failure()).isEqualTo(expected);
            String head = caller.readHead();
            assertThat(head).startsWith("HTTP/1.1 502 ").contains("Snipeslip-Request-Id: entry-1-");
        }
    }

    /**
     * Guards against extra bytes after a response that are taken for the response to the next call.
     */
    @ParameterizedTest
    @ValueSource(strings = {"x", OK, "HTTP/1.1 200 OK\r\n"})
    void connectionWithExtraBytesIsNotReused(String extra) throws Exception {
        try (RawSocket first = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write(OK + extra);
            first.readHead();
            assertThat(first.read(2)).isEqualTo("ok");
            fixture.engine.await(Event.TryCompleted.class);
            assertThat(backend.readRest().text()).isEmpty();
            first.write(HttpFixture.get("/b"));
            fixture.backend
                    .acceptRequest()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
            first.readHead();
            assertThat(first.read(3)).isEqualTo("new");
        }
    }

    /** Guards against opening a new connection, which costs a millisecond, for each call. */
    @Test
    void connectionIsReusedAfterCompleteResponse() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            for (int i = 0; i < 3; i++) {
                backend.write(OK);
                caller.readHead();
                assertThat(caller.read(2)).isEqualTo("ok");
                caller.write(HttpFixture.get("/" + i));
                assertThat(backend.readHead()).startsWith("GET /" + i + " ");
            }
        }
    }

    /**
     * Guards against outcome "not run" if an idle connection is closed while the request is sent.
     */
    @Test
    void closedIdleConnectionFailsTryBeforeHead() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write(OK);
            caller.readHead();
            caller.read(2);
            caller.write(HttpFixture.get("/b"));
            backend.readHead();
            backend.reset();
            assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.BROKEN_BEFORE_HEAD);
        }
    }

    /** Guards against waiting for a body where the status or the method does not allow one. */
    @ParameterizedTest
    @CsvSource({
        "GET, 'HTTP/1.1 204 No Content\r\n\r\n', HTTP/1.1 204",
        "GET, 'HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n', HTTP/1.1 204",
        "GET, 'HTTP/1.1 304 Not Modified\r\nETag: \"v\"\r\n\r\n', HTTP/1.1 304",
        "GET, 'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n', HTTP/1.1 304",
        "HEAD, 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n', HTTP/1.1 200",
        "HEAD, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', HTTP/1.1 200",
    })
    void bodilessResponseEndsWithItsHead(String method, String response, String expected)
            throws Exception {
        try (RawSocket caller = fixture.call(method + " /a HTTP/1.1\r\nHost: h\r\n\r\n")) {
            fixture.backend.acceptRequest().write(response);
            assertThat(caller.readHead()).startsWith(expected);
            fixture.engine.await(Event.TryCompleted.class);
            caller.write(HttpFixture.get("/b"));
            fixture.engine.await(Event.CallArrived.class);
        }
    }

    /** Guards against hop-by-hop header fields of the backend server that reach the caller. */
    @Test
    void hopByHopFieldsOfTheResponseAreDropped() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            fixture.backend
                    .acceptRequest()
                    .write(
                            "HTTP/1.1 200 OK\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n"
                                    + "Keep-Alive: timeout=5\r\nX-Kept: a\r\nX-Kept:\r\n"
                                    + "Snipeslip-Load: 1/4\r\nContent-Length: 2\r\n\r\nok");
            String head = caller.readHead();
            assertThat(head)
                    .doesNotContain("X-Mine", "Keep-Alive", "Snipeslip-Load", "close")
                    .contains("X-Kept: a\r\n");
            assertThat(head).containsPattern("X-Kept: ?\r\n");
            Event.TryAnswered answered = fixture.engine.await(Event.TryAnswered.class);
            assertThat(answered.load().inFlight()).isEqualTo(1);
        }
    }

    /** Guards against relaying trailers, which may contain framing or authentication fields. */
    @Test
    void trailersAreDropped() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            fixture.backend
                    .acceptRequest()
                    .write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n");
            caller.readHead();
            assertThat(caller.readHead()).matches("0*2\r\nok\r\n0\r\n\r\n");
        }
    }

    /** Guards against a recorded response that is missing, or truncated without being marked. */
    @ParameterizedTest
    @CsvSource({"1024, true", "1025, false", "70000, false"})
    void smallResponsesAreRecorded(int bytes, boolean kept) throws Exception {
        String body = "x".repeat(bytes);
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            fixture.backend
                    .acceptRequest()
                    .write(
                            "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: "
                                    + bytes
                                    + "\r\n\r\n"
                                    + body);
            caller.readHead();
            assertThat(caller.read(bytes)).isEqualTo(body);
            RecordableAnswer answer = fixture.engine.await(Event.TryCompleted.class).recordable();
            assertThat(answer.status()).isEqualTo(201);
            assertThat(answer.contentType()).isEqualTo("text/plain");
            assertThat(answer.bodyKept()).isEqualTo(kept);
            assertThat(answer.body().isEmpty()).isEqualTo(!kept);
        }
    }

    /** Guards against buffering a whole response in memory instead of streaming it. */
    @Test
    void largeResponseUsesFewBuffers() throws Exception {
        long bytes = 32L << 20;
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            Thread writer = Thread.ofVirtual().start(() -> writeLarge(backend, bytes));
            caller.readHead();
            long count = 0;
            byte[] part = new byte[64 * 1024];
            while (count < bytes) {
                count += caller.in().read(part);
            }
            writer.join();
            assertThat(count).isEqualTo(bytes);
            // One buffer for the pump, one for the head on each connection, and one for the read
            // that detects a disconnect of the caller.
            assertThat(fixture.maxBuffersInUse.get()).isLessThanOrEqualTo(8);
        }
    }

    private static void writeLarge(RawSocket backend, long bytes) {
        try {
            backend.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
            String part = "y".repeat(1 << 16);
            for (long i = 0; i < bytes; i += part.length()) {
                backend.write(part);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
