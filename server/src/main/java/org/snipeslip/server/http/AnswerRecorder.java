package org.snipeslip.server.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Base64;
import org.snipeslip.core.instance.RecordableAnswer;

/** Copies a small response while it is relayed, for duplicates of a keyed call. */
final class AnswerRecorder {
    private static final int MAX_BODY_BYTES = 1_024;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean tooLarge;

    void passed(ByteBuffer bytes) {
        if (tooLarge || body.size() + bytes.remaining() > MAX_BODY_BYTES) {
            tooLarge = true;
            body.reset();
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        body.write(copy, 0, copy.length);
    }

    RecordableAnswer answer(ClientResponse response) {
        String contentType = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        return new RecordableAnswer(
                response.getResponseCode(),
                contentType == null ? "" : contentType,
                Base64.getEncoder().encodeToString(body.toByteArray()),
                !tooLarge);
    }
}
