package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Event;

/**
 * Guards against a backend server whose bytes never end and fill the memory of an instance, or hold
 * a call until its deadline.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndlessResponseTest {
    /** More than the buffers of both sockets hold, and little against the memory of an instance. */
    private static final long MAX_BYTES = 16L << 20;

    private static final int REPEATS = 64;

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The connection is closed after a bounded number of bytes, and the call ends at once. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "status line; 'HTTP/1.1 200 '; 'OK'",
                "version; ''; 'H'",
                "name of a field; 'HTTP/1.1 200 OK\r\n'; 'aaaaaaaa'",
                "value of a field; 'HTTP/1.1 200 OK\r\nA: '; 'bbbbbbbb'",
                "fields; 'HTTP/1.1 200 OK\r\n'; 'A: b\r\n'",
                "different fields; 'HTTP/1.1 200 OK\r\n'; 'A@: b\r\n'",
                "interim responses; ''; 'HTTP/1.1 100 Continue\r\n\r\n'",
                "early hints; ''; 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'",
            })
    void endsCallWithEndlessHead(String name, String start, String repeated) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            CompletableFuture<Long> sent = sendWithoutEnd(backend, start, repeated);

            assertThat(fixture.engine.await(Event.TryFailed.class)).isNotNull();
            assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
            assertThat(sent.get(30, TimeUnit.SECONDS)).isLessThan(MAX_BYTES);
        }
    }

    /** A head of many fields takes far more memory than its bytes, and may stay for long. */
    @ParameterizedTest
    @CsvSource({"'A@:\r\n', 60000", "'A@: b\r\n', 40000", "'A@: b\r\n', 2200", "'A', 33000"})
    void endsCallWithLongHeadThatPauses(String repeated, int bytes) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            for (int i = 0; head.length() < bytes; i++) {
                head.append(repeated.replace("@", String.valueOf(i)));
            }
            backend.write(head.toString());

            assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.MALFORMED);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 502 ");
        }
    }

    /** A body that breaks its framing without end reaches the caller as broken. */
    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked\r\n\r\n2;"})
    void breaksOffResponseWithEndlessChunkLine(String framing) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            CompletableFuture<Long> sent =
                    sendWithoutEnd(backend, "HTTP/1.1 200 OK\r\n" + framing, "a=b;c=d;");

            fixture.engine.await(Event.TryFailed.class);
            assertThat(caller.readRest().text()).doesNotContain("\r\n0\r\n");
            assertThat(sent.get(30, TimeUnit.SECONDS)).isLessThan(MAX_BYTES);
        }
    }

    /** A body without a length stops being read while its caller does not read. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Transfer-Encoding: chunked\r\n"})
    void holdsBackEndlessBodyOfSlowCaller(String framing) throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            CompletableFuture<Long> sent =
                    sendWithoutEnd(
                            backend,
                            "HTTP/1.1 200 OK\r\n" + framing + "\r\n",
                            framing.isEmpty() ? "abcdefgh" : "8\r\nabcdefgh\r\n");
            fixture.engine.await(Event.TryAnswered.class);
            caller.readHead();
            caller.reset();

            // The server can send only what the buffers of four sockets hold.
            assertThat(sent.get(30, TimeUnit.SECONDS)).isLessThan(2 * MAX_BYTES);
            assertThat(fixture.maxBuffersInUse.get()).isLessThan(16);
        }
    }

    /** Sends until the connection is closed or far too much was sent; returns the bytes sent. */
    private static CompletableFuture<Long> sendWithoutEnd(
            RawSocket backend, String start, String repeated) {
        return CompletableFuture.supplyAsync(
                () -> {
                    long sent = 0;
                    int number = 0;
                    try (backend) {
                        backend.write(start);
                        while (sent < 4 * MAX_BYTES) {
                            StringBuilder text = new StringBuilder();
                            for (int i = 0; i < REPEATS; i++) {
                                text.append(repeated.replace("@", String.valueOf(number++)));
                            }
                            backend.write(text.toString());
                            sent += text.length();
                        }
                    } catch (IOException e) {
                        // The instance has closed the connection.
                    }
                    return sent;
                });
    }
}
