package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Event;

/**
 * Guards against a response whose head breaks the grammar and that is taken for a response: with
 * the line repaired, passed on, or read as the beginning of the body.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MalformedHeadTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String END = "Content-Length: 2\r\n\r\nok";

    /** RFC 9112 sections 4 and 5, with a line end of section 2.2. */
    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/1\\.[0-9] [0-9]{3}( [\\t\\x20-\\x7e\\x80-\\xff]*)?\r?\n"
                            + "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\r?\n)*"
                            + "\r?\n");

    private static final String ODD_BYTES = " \t\r\n:\u0000\u0001\u007f\u00e4/\"a1";

    private static final List<String> MALFORMED_LINES =
            List.of(
                    "X Trouble: 1",
                    "X\tTrouble: 1",
                    "X-Trouble : 1",
                    "X-Trouble\t: 1",
                    " X-Trouble: 1",
                    "\tX-Trouble: 1",
                    " folded",
                    "X-Tro\u0000uble: 1",
                    "\u0000X-Trouble: 1",
                    "X-Trouble\u0000: 1",
                    "X-Tro\u0001uble: 1",
                    "X-Tro\buble: 1",
                    "X-Tro\u001buble: 1",
                    "X-Tro\u007fuble: 1",
                    "X-Tro\u0080uble: 1",
                    "X-Tro\u00e4uble: 1",
                    "X-Tro\ruble: 1",
                    "\rX-Trouble: 1",
                    "X-Trouble\r: 1",
                    "X-Tro\nuble: 1",
                    "X-Tro\r\nuble: 1",
                    "X-Trouble",
                    "X-Trouble 1",
                    ": 1",
                    ":",
                    "X-(Trouble): 1",
                    "X-Tro\"uble\": 1",
                    "X-Tro/uble: 1",
                    "X-Tro@uble: 1",
                    "X[Trouble]: 1",
                    "HTTP/1.1 500 Internal Server Error",
                    "Content-Length : 5",
                    "Content\u0000-Length: 5",
                    "Content -Length: 5",
                    "Transfer-Encoding : chunked",
                    "Transfer\u0001-Encoding: chunked",
                    "X-Trouble: a\rb",
                    "X-Trouble: a\r",
                    "X-Trouble:\r\r",
                    "X-Trouble: a\u0000b",
                    "X-Trouble: a\u0001b",
                    "X-Trouble: a\u007fb",
                    "X-Trouble: a\r\n b",
                    "X-Trouble: a\r\n\tb");

    private static final List<String> VALID_LINES =
            List.of(
                    "X-Fine: 1",
                    "X-Fine:1",
                    "X-Fine:",
                    "X-Fine: ",
                    "X-Fine:\t a\tb \t",
                    "X-Fine: a:b: c",
                    "X-Fine: \u00e4\u0080\u00ff",
                    "x!#$%&'*+-.^_`|~09azAZ: ok",
                    "X: (a) \"b\" [c] {d} /@,;=?<>\\");

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The caller gets an error of the instance, and the connection is not used again. */
    @ParameterizedTest
    @MethodSource("malformedLines")
    void callerGetsNoResponseWithAMalformedLine(String line) throws Exception {
        for (String response :
                List.of(
                        OK + line + "\r\n" + END,
                        OK + "X-Before: 1\r\n" + line + "\r\n" + END,
                        OK + "Content-Length: 2\r\n" + line + "\r\n\r\nok",
                        "HTTP/1.1 503 Trouble\r\n" + line + "\r\nSnipeslip-Not-Run: 1\r\n" + END,
                        "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + OK + END)) {
            try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
                RawSocket backend = fixture.backend.acceptRequest();
                backend.write(response);
                assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                        .describedAs(response)
                        .isIn(TryFailure.MALFORMED, TryFailure.BROKEN_BEFORE_HEAD);
                assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
                assertThat(backend.readRest().text()).isEmpty();
            }
        }
    }

    /** No other place takes it for a response either. */
    @ParameterizedTest
    @MethodSource("readersAndMalformedLines")
    void readerTakesNoResponseWithAMalformedLine(ResponseReader reader, String line)
            throws Exception {
        assertThat(reader.read("", respondWith(line))).isEqualTo(ResponseReader.Outcome.FAILED);
    }

    /** A server whose head has a folded line is reached nevertheless. */
    @ParameterizedTest
    @ValueSource(strings = {" X-Trouble: 1", "X-Trouble: a\r\n b"})
    void linkTestReachesServerWithAFoldedLine(String line) throws Exception {
        assertThat(ResponseReader.LINK_TEST.read("", respondWith(line)))
                .isEqualTo(ResponseReader.Outcome.COMPLETE);
    }

    /** Lines that the grammar allows reach the caller. */
    @ParameterizedTest
    @MethodSource("validLines")
    void callerGetsResponseWithAValidLine(String line) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            fixture.backend.acceptRequest().write(OK + line + "\r\n" + END);
            String name = line.substring(0, line.indexOf(':'));
            String value = line.substring(line.indexOf(':') + 1).strip();
            assertThat(caller.readHead())
                    .startsWith("HTTP/1.1 200 ")
                    .containsIgnoringCase(name + ": " + value);
            assertThat(caller.read(2)).isEqualTo("ok");
        }
    }

    /** So do they at the other places. */
    @ParameterizedTest
    @MethodSource("readersAndValidLines")
    void readerTakesResponseWithAValidLine(ResponseReader reader, String line) throws Exception {
        assertThat(reader.read("", respondWith(line))).isEqualTo(ResponseReader.Outcome.COMPLETE);
    }

    /** The byte at which packets are divided makes no difference. */
    @ParameterizedTest
    @ValueSource(strings = {"X Trouble: 1", "X-Trouble : 1", "X-Tro\ruble: 1", "X-Trouble: a\rb"})
    void malformedLineIsFoundInAnyPackets(String line) throws Exception {
        String response = OK + line + "\r\n" + END;
        for (int length = 1; length < response.length(); length++) {
            try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
                RawSocket backend = fixture.backend.acceptRequest();
                backend.write(response.substring(0, length));
                try {
                    backend.write(response.substring(length));
                } catch (IOException e) {
                    // The instance has closed the connection after the malformed line.
                }
                assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                        .describedAs("divided after %s bytes", length)
                        .isIn(TryFailure.MALFORMED, TryFailure.BROKEN_BEFORE_HEAD);
                assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
            }
        }
    }

    /** Every byte, at the beginning, in the middle and at the end of a name. */
    @ParameterizedTest
    @CsvSource({
        "X-Trouble, 0", "X-Trouble, 5", "X-Trouble, 9", "Content-Type, 0", "Content-Type, 7",
        "Content-Type, 12", "Server, 0", "Server, 3", "Server, 6", "Content-Length, 14"
    })
    void anyByteInANameIsAcceptedOnlyIfTheGrammarHasIt(String name, int at) throws Exception {
        List<String> wronglyAccepted = new ArrayList<>();
        for (int b = 0; b < 256; b++) {
            String line = name.substring(0, at) + (char) b + name.substring(at) + ": 1\r\n";
            collectWronglyAccepted(OK + "X-Before: 1\r\n" + line + END, wronglyAccepted);
        }
        assertThat(wronglyAccepted).isEmpty();
    }

    /** Heads with spoiled bytes are accepted only if the grammar allows them. */
    @ParameterizedTest
    @MethodSource("seeds")
    void spoiledHeadIsAcceptedOnlyIfTheGrammarAllowsIt(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> wronglyAccepted = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            StringBuilder head =
                    new StringBuilder(
                            OK + "Server: a b\r\nX-Fine:  c\r\nContent-Length: 2\r\n\r\n");
            for (int spoiled = random.nextInt(3); spoiled >= 0; spoiled--) {
                spoil(head, random);
            }
            collectWronglyAccepted(head + "ok", wronglyAccepted);
        }
        assertThat(wronglyAccepted).isEmpty();
    }

    private static void spoil(StringBuilder head, Random random) {
        int at = random.nextInt(head.length());
        char odd = ODD_BYTES.charAt(random.nextInt(ODD_BYTES.length()));
        switch (random.nextInt(4)) {
            case 0 -> head.setCharAt(at, odd);
            case 1 -> head.insert(at, odd);
            case 2 -> head.deleteCharAt(at);
            default -> head.setCharAt(at, (char) random.nextInt(256));
        }
    }

    /** Sends a response; adds it to a list if it was accepted and the grammar does not allow it. */
    private void collectWronglyAccepted(String response, List<String> wronglyAccepted)
            throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"));
                RawSocket backend = fixture.backend.acceptRequest()) {
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            backend.write(response);
            backend.endOutput();
            Event event;
            do {
                event = fixture.engine.await(Event.TryAnswered.class, Event.TryFailed.class);
            } while (!requestOf(event).equals(request));
            if (event instanceof Event.TryAnswered && !HEAD.matcher(response).lookingAt()) {
                wronglyAccepted.add(response);
            }
        }
        awaitNoOpenConnection();
    }

    private static RequestId requestOf(Event event) {
        return switch (event) {
            case Event.TryAnswered answered -> answered.tryId().request();
            case Event.TryFailed failed -> failed.tryId().request();
            default -> throw new IllegalArgumentException(event.toString());
        };
    }

    /** The next call must not be sent on the connection of this one. */
    private void awaitNoOpenConnection() {
        while (fixture.connections.openConnections() > 0) {
            Thread.onSpinWait();
        }
    }

    static LongStream seeds() {
        return LongStream.range(0, 20);
    }

    private static ResponseReader.FakeServer respondWith(String line) {
        return (connection, serverId) ->
                connection.write(
                        OK
                                + "Load: 1/4\r\nServer-Name: "
                                + serverId
                                + "\r\n"
                                + line
                                + "\r\n"
                                + END);
    }

    static Stream<String> malformedLines() {
        return MALFORMED_LINES.stream();
    }

    static Stream<String> validLines() {
        return VALID_LINES.stream();
    }

    static Stream<Arguments> readersAndMalformedLines() {
        return readersAnd(MALFORMED_LINES);
    }

    static Stream<Arguments> readersAndValidLines() {
        return readersAnd(VALID_LINES);
    }

    private static Stream<Arguments> readersAnd(List<String> lines) {
        return ResponseReader.ofContents()
                .filter(reader -> reader != ResponseReader.CALL)
                .flatMap(reader -> lines.stream().map(line -> Arguments.of(reader, line)));
    }
}
