package org.snipeslip.core.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/**
 * SHA-256 digests of lists of strings. Each string is preceded by its length, so that different
 * lists never have the same input.
 */
final class KeyDigest {
    private static final int MAX_PLAIN_LENGTH = 64;

    private KeyDigest() {}

    static String of(ClaimRequest claim) {
        String organisation = claim.organisation() == null ? "" : claim.organisation().value();
        byte[] digest = sha256(organisation, claim.route().value(), claim.key().value());
        return Base64.getUrlEncoder().withoutPadding().encodeToString(digest);
    }

    /** Maps a digest made by {@link #of(ClaimRequest)} evenly to a partition number. */
    static int partitionOf(String digest, int partitionCount) {
        byte[] bytes = Base64.getUrlDecoder().decode(digest);
        return Math.floorMod(ByteBuffer.wrap(bytes).getInt(), partitionCount);
    }

    static long rendezvousWeight(String... texts) {
        return ByteBuffer.wrap(sha256(texts)).getLong();
    }

    /** Replaces a long text with its digest, so that the size of records is limited. */
    static String shortened(String text) {
        return text.length() <= MAX_PLAIN_LENGTH
                ? text
                : Base64.getUrlEncoder().withoutPadding().encodeToString(sha256(text));
    }

    private static byte[] sha256(String... texts) {
        MessageDigest sha256;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
        for (String text : texts) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            sha256.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
            sha256.update(bytes);
        }
        return sha256.digest();
    }
}
