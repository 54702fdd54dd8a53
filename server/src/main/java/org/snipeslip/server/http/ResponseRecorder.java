package org.snipeslip.server.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Base64;
import org.snipeslip.core.instance.RecordableAnswer;

/**
 * Copies a small response while it is relayed, to replay it for duplicates of a call with an
 * idempotency key.
 */
final class ResponseRecorder {
    private static final int MAX_BODY_BYTES = 1_024;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean tooLarge;

    void append(ByteBuffer bytes) {
        if (tooLarge || body.size() + bytes.remaining() > MAX_BODY_BYTES) {
            tooLarge = true;
            body.reset();
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        body.write(copy, 0, copy.length);
    }

    RecordableAnswer toRecordableAnswer(ClientResponse response) {
        String contentType = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        return new RecordableAnswer(
                response.getResponseCode(),
                contentType == null ? "" : contentType,
                Base64.getEncoder().encodeToString(body.toByteArray()),
                !tooLarge);
    }
}
