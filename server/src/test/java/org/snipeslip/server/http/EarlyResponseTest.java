package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.instance.Event;

/**
 * Tests responses without a length that come while the request is still being written. They end
 * with their connection, so only the way in which it ends tells a whole one from a part.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class EarlyResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    /** Occurs in no head. */
    private static final String BODY_CHARACTER = "~";

    /** Which of a write and a read meets the reset differs from one connection to the next. */
    private static final int RESPONSES = 30;

    private static final int WHOLE_RESPONSES = 5;

    private static final int PART_BYTES = 8 * 1024;

    /** Parts of a request with a length; together more than the buffers of a connection hold. */
    private static final int PARTS = 240;

    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** How the request states the end of its body. */
    private enum Upload {
        LENGTH("Content-Length: " + PARTS * PART_BYTES + "\r\n\r\n", "z".repeat(PART_BYTES), PARTS),
        CHUNKS(
                "Transfer-Encoding: chunked\r\n\r\n",
                Integer.toHexString(PART_BYTES) + "\r\n" + "z".repeat(PART_BYTES) + "\r\n",
                Integer.MAX_VALUE);

        private final String fields;
        private final String part;
        private final int parts;

        Upload(String fields, String part, int parts) {
            this.fields = fields;
            this.part = part;
            this.parts = parts;
        }
    }

    /** A part of a response that was reset must not reach the caller as a complete response. */
    @ParameterizedTest
    @CsvSource({
        "LENGTH, 0, true", "LENGTH, 3, true", "LENGTH, 3, false", "LENGTH, 100000, true",
        "CHUNKS, 0, true", "CHUNKS, 3, true", "CHUNKS, 3, false", "CHUNKS, 100000, true"
    })
    void resetPartIsNotComplete(Upload upload, int bytes, boolean afterHead) throws Exception {
        List<String> complete = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            try (RawSocket caller = fixture.caller()) {
                Thread writer = startUpload(caller, upload);
                RawSocket backend = fixture.backend.acceptRequest();
                backend.read(10 * PART_BYTES);
                backend.write(HEAD + BODY_CHARACTER.repeat(bytes));
                if (afterHead) {
                    fixture.engine.await(Event.TryAnswered.class);
                }
                backend.reset();
                RawSocket.Rest response = caller.readRest();
                if (response.isCompleteResponse() && response.text().startsWith("HTTP/1.1 200 ")) {
                    complete.add("response " + i);
                } else {
                    assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                            .isIn(TryFailure.BROKEN_BODY, TryFailure.BROKEN_BEFORE_HEAD);
                }
                caller.close();
                writer.join();
            }
        }
        assertThat(complete).isEmpty();
    }

    /** The same at every other place where the response to a request with a body is read. */
    @ParameterizedTest
    @CsvSource({"PASSED_ON_CALL, 3", "PASSED_ON_CALL, 100000", "STORE, 3", "STORE, 100000"})
    void resetPartIsNotCompleteForReader(ResponseReader reader, int bytes) throws Exception {
        String request = "z".repeat(PARTS * PART_BYTES);
        List<ResponseReader.Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            outcomes.add(
                    reader.read(
                            request,
                            (connection, serverId) -> {
                                connection.read(10 * PART_BYTES);
                                connection.write(HEAD + BODY_CHARACTER.repeat(bytes));
                                connection.read(10 * PART_BYTES);
                                connection.reset();
                            }));
        }
        assertThat(outcomes).containsOnly(ResponseReader.Outcome.FAILED);
    }

    /** A whole response whose server reads on, as RFC 9112 section 9.6 asks, must stay whole. */
    @ParameterizedTest
    @CsvSource({"LENGTH, 0", "LENGTH, 3", "LENGTH, 200000", "CHUNKS, 3", "CHUNKS, 200000"})
    void wholeResponseIsComplete(Upload upload, int bytes) throws Exception {
        for (int i = 0; i < WHOLE_RESPONSES; i++) {
            try (RawSocket caller = fixture.caller()) {
                Thread writer = startUpload(caller, upload);
                RawSocket backend = fixture.backend.acceptRequest();
                backend.read(10 * PART_BYTES);
                backend.write(HEAD + BODY_CHARACTER.repeat(bytes));
                backend.endOutput();
                Thread reader = Thread.ofVirtual().start(backend::readRest);
                RawSocket.Rest response = caller.readRest();
                assertThat(response.isCompleteResponse()).isTrue();
                assertThat(response.text().chars().filter(c -> c == BODY_CHARACTER.charAt(0)))
                        .hasSize(bytes);
                fixture.engine.await(Event.TryCompleted.class);
                caller.close();
                writer.join();
                reader.join();
                backend.close();
            }
        }
    }

    private static Thread startUpload(RawSocket caller, Upload upload) {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                caller.write(
                                        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                                + upload.fields);
                                for (int i = 0; i < upload.parts; i++) {
                                    caller.write(upload.part);
                                }
                            } catch (IOException e) {
                                // The instance has closed the connection.
                            }
                        });
    }
}
