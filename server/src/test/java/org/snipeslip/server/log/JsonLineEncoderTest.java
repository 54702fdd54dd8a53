package org.snipeslip.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.slf4j.event.KeyValuePair;

/** Guards against values that make the encoder fail or write an invalid log line. */
class JsonLineEncoderTest {
    private final JsonLineEncoder encoder = new JsonLineEncoder();

    /**
     * Guards against a path written as a sequence: it iterates over its elements, each of which is
     * a path again, so that the recursion would not end.
     */
    @ParameterizedTest
    @MethodSource("values")
    void encodesValues(Object value, String json) throws IOException {
        LoggingEvent event = event("m", null);
        event.setKeyValuePairs(List.of(new KeyValuePair("k", value)));
        assertThat(line(event).get("k").toString()).isEqualTo(json);
    }

    static Stream<Arguments> values() {
        return Stream.of(
                Arguments.of(Path.of("/etc/boot.conf"), "\"/etc/boot.conf\""),
                Arguments.of(7L, "7"),
                Arguments.of(1.5, "1.5"),
                Arguments.of(true, "true"),
                Arguments.of(null, "null"),
                Arguments.of("a\"b\nc", "\"a\\\"b\\nc\""),
                Arguments.of(List.of(1, "x"), "[1,\"x\"]"),
                Arguments.of(Map.of("a", List.of()), "{\"a\":[]}"));
    }

    @Test
    void encodesStackTraceOnOneLine() throws IOException {
        LoggingEvent event = event("two\nlines", new IllegalStateException("broken"));
        byte[] bytes = encoder.encode(event);
        String text = new String(bytes, StandardCharsets.UTF_8);

        assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
        assertThat(line(event).get("stackTrace").asText()).contains("broken");
    }

    private JsonNode line(LoggingEvent event) throws IOException {
        return new ObjectMapper().readTree(encoder.encode(event));
    }

    private static LoggingEvent event(String message, Throwable thrown) {
        LoggerContext context = new LoggerContext();
        return new LoggingEvent(
                "f", context.getLogger("logger"), Level.INFO, message, thrown, null);
    }
}
