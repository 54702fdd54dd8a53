package org.snipeslip.peer;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The key shared by all instances; it never leaves the process. */
public final class PeerKey {
    /** Shortest key: half the output of the hash, as RFC 2104 advises at least. */
    public static final int MIN_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec spec;

    /**
     * Creates a key.
     *
     * @param text the key as in the settings
     * @throws IllegalArgumentException if it is shorter than {@link #MIN_BYTES} bytes
     */
    public PeerKey(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_BYTES) {
            throw new IllegalArgumentException("the peer key needs " + MIN_BYTES + " bytes");
        }
        this.spec = new SecretKeySpec(bytes, ALGORITHM);
    }

    /** Computes the HMAC of length-prefixed fields. */
    byte[] prove(byte[]... fields) {
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
            throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return "PeerKey";
    }
}
