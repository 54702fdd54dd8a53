package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import org.snipeslip.core.call.RequestIdentity;
import org.snipeslip.core.id.RequestDigest;

/**
 * Digest of method, host, path with query, caller and body of an HTTP request. SHA-256 is used
 * because a caller must not be able to build a request with the digest of another one's.
 */
final class HttpRequestIdentity implements RequestIdentity {
    /** Fields by which a caller identifies itself. */
    private static final List<HttpString> CALLER_FIELDS =
            List.of(Headers.AUTHORIZATION, SnipeslipHeaders.ORGANISATION);

    private final HttpServerExchange exchange;
    private final RequestBody body;
    private RequestDigest digest;

    HttpRequestIdentity(HttpServerExchange exchange, RequestBody body) {
        this.exchange = exchange;
        this.body = body;
    }

    static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, which every Java platform must provide", e);
        }
    }

    @Override
    public RequestDigest digest() {
        if (digest == null) {
            byte[] bodyDigest = body.digest();
            if (bodyDigest != null) {
                digest = compute(bodyDigest);
            }
        }
        return digest;
    }

    private RequestDigest compute(byte[] bodyDigest) {
        MessageDigest whole = newDigest();
        update(whole, exchange.getRequestMethod().toString());
        update(whole, exchange.getHostName());
        update(whole, RequestTarget.pathAndQuery(exchange));
        for (HttpString field : CALLER_FIELDS) {
            update(whole, exchange.getRequestHeaders().getFirst(field));
        }
        whole.update(bodyDigest);
        ByteBuffer bytes = ByteBuffer.wrap(whole.digest());
        return new RequestDigest(bytes.getLong(), bytes.getLong());
    }

    /** Adds a part with its length, so that parts cannot be shifted into one another. */
    private static void update(MessageDigest whole, String part) {
        byte[] bytes = part == null ? new byte[0] : part.getBytes(StandardCharsets.UTF_8);
        int length = part == null ? -1 : bytes.length;
        whole.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        whole.update(bytes);
    }
}
