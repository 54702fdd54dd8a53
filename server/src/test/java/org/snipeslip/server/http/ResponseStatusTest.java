package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.instance.Event;

/**
 * Guards against a response whose status is none, such as 000, or is read from other text, such as
 * +200, and that the caller receives as a response.
 */
class ResponseStatusTest {
    private static final String FIELDS = "\r\nContent-Length: 2\r\n\r\nok";

    private static final List<String> NO_STATUS =
            List.of(
                    "HTTP/1.1 000 Trouble",
                    "HTTP/1.1 000",
                    "HTTP/1.1 001 Trouble",
                    "HTTP/1.1 099 Trouble",
                    "HTTP/1.1 199 Trouble",
                    "HTTP/1.1 600 Trouble",
                    "HTTP/1.1 999 Trouble",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 00200 OK",
                    "HTTP/1.1 2000 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 -200 OK",
                    "HTTP/1.1 20 OK",
                    "HTTP/1.1 2",
                    "HTTP/1.1 ",
                    "HTTP/1.1  200 OK",
                    "HTTP/1.1\t200 OK",
                    "HTTP/1.1 200\tOK",
                    "HTTP/1.1 20 0 OK",
                    "HTTP/1.1 2e2 OK",
                    "HTTP/1.1 0xC8 OK",
                    "HTTP/1.1 200.0 OK",
                    "HTTP/1.1 200OK",
                    "HTTP/1.1 4294967496 OK",
                    "HTTP/1.1 \u00B2\u2070\u2070 OK");

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    @ParameterizedTest
    @MethodSource("noStatus")
    void callerGetsNoResponseWithoutAStatus(String statusLine) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write(statusLine + FIELDS);
            fixture.engine.await(Event.TryFailed.class);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
        }
    }

    /** A status with an empty reason phrase is allowed, and the codes at the edges are. */
    @ParameterizedTest
    @ValueSource(strings = {"200 ", "200 A long reason", "299 ", "404 x", "599 ", "500 \u00E4"})
    void callerGetsResponseWithAStatus(String status) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write("HTTP/1.1 " + status + FIELDS);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 " + status.substring(0, 3) + " ");
            assertThat(caller.read(2)).isEqualTo("ok");
        }
    }

    /** No other place takes it for a response either. */
    @ParameterizedTest
    @MethodSource("readersAndNoStatus")
    void readerTakesNoResponseWithoutAStatus(ResponseReader reader, String statusLine)
            throws Exception {
        assertThat(reader.read("", respondWith(statusLine)))
                .isEqualTo(ResponseReader.Outcome.FAILED);
    }

    /** A server whose response has no status is reached nevertheless. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 200 OK"})
    void linkTestReachesServerWithoutAStatus(String statusLine) throws Exception {
        assertThat(ResponseReader.LINK_TEST.read("", respondWith(statusLine)))
                .isEqualTo(ResponseReader.Outcome.COMPLETE);
    }

    /** The other places take a response with a status, whatever they make of it. */
    @ParameterizedTest
    @EnumSource(ResponseReader.class)
    void readerTakesResponseWithAStatus(ResponseReader reader) throws Exception {
        for (String statusLine : List.of("HTTP/1.1 200 OK", "HTTP/1.1 404 ", "HTTP/1.1 599 x")) {
            assertThat(reader.read("", respondWith(statusLine)))
                    .describedAs(statusLine)
                    .isEqualTo(ResponseReader.Outcome.COMPLETE);
        }
    }

    private static ResponseReader.FakeServer respondWith(String statusLine) {
        return (connection, serverId) ->
                connection.write(statusLine + "\r\nLoad: 1/4\r\nServer-Name: " + serverId + FIELDS);
    }

    static Stream<String> noStatus() {
        return NO_STATUS.stream();
    }

    static Stream<Arguments> readersAndNoStatus() {
        return ResponseReader.ofContents()
                .filter(reader -> reader != ResponseReader.CALL)
                .flatMap(reader -> NO_STATUS.stream().map(line -> Arguments.of(reader, line)));
    }
}
