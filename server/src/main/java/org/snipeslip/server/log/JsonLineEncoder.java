package org.snipeslip.server.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes each event as one line of JSON: time, level, logger, message, the key-value pairs of the
 * event, and a stack trace if there is one. It uses only the streaming API of Jackson, because
 * every instance loads these classes.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] NO_BYTES = new byte[0];

    @Override
    public byte[] headerBytes() {
        return NO_BYTES;
    }

    @Override
    public byte[] footerBytes() {
        return NO_BYTES;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("time", event.getInstant().toString());
            json.writeStringField("level", event.getLevel().toString());
            json.writeStringField("logger", event.getLoggerName());
            json.writeStringField("message", event.getFormattedMessage());
            if (event.getKeyValuePairs() != null) {
                for (KeyValuePair pair : event.getKeyValuePairs()) {
                    json.writeFieldName(pair.key);
                    write(json, pair.value);
                }
            }
            IThrowableProxy thrown = event.getThrowableProxy();
            if (thrown != null) {
                json.writeStringField("stackTrace", ThrowableProxyUtil.asString(thrown));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "cannot encode a log event although the target is in memory", e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        switch (value) {
            case null -> json.writeNull();
            case Long number -> json.writeNumber(number);
            case Integer number -> json.writeNumber(number);
            case Double number -> json.writeNumber(number);
            case Boolean bool -> json.writeBoolean(bool);
            case Map<?, ?> map -> {
                json.writeStartObject();
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    json.writeFieldName(String.valueOf(entry.getKey()));
                    write(json, entry.getValue());
                }
                json.writeEndObject();
            }
            case Collection<?> elements -> {
                json.writeStartArray();
                for (Object element : elements) {
                    write(json, element);
                }
                json.writeEndArray();
            }
            default -> json.writeString(value.toString());
        }
    }
}
