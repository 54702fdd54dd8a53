package org.snipeslip.peer;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The key shared by all instances. It is never sent, logged or reported. */
public final class PeerKey {
    /**
     * Minimum length of the key: half the length of the hash output, which RFC 2104 gives as the
     * minimum for truncated output. For keys it recommends the whole length of the hash output.
     */
    public static final int MIN_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec spec;

    /**
     * Creates a key.
     *
     * @param text the key as written in the settings; its UTF-8 bytes are used
     * @throws IllegalArgumentException if the key is shorter than {@link #MIN_BYTES} bytes
     */
    public PeerKey(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_BYTES) {
            throw new IllegalArgumentException(
                    "peer key must have at least " + MIN_BYTES + " bytes");
        }
        this.spec = new SecretKeySpec(bytes, ALGORITHM);
    }

    /** Returns the HMAC of the fields, each prefixed with its length in two bytes. */
    byte[] hmac(byte[]... fields) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(spec);
            for (byte[] field : fields) {
                mac.update((byte) (field.length >>> 8));
                mac.update((byte) field.length);
                mac.update(field);
            }
            return mac.doFinal();
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(
                    "required by every Java platform but missing: " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return "PeerKey";
    }
}
