package org.snipeslip.core.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/** SHA-256 of lists of texts; each text is preceded by its length, so that lists differ. */
final class KeyDigest {
    private static final int SHORT_LENGTH = 64;

    private KeyDigest() {}

    static String of(ClaimRequest claim) {
        String organisation = claim.organisation() == null ? "" : claim.organisation().value();
        byte[] digest = sha256(organisation, claim.route().value(), claim.key().value());
        return Base64.getUrlEncoder().withoutPadding().encodeToString(digest);
    }

    /** A number from a digest made by {@link #of(ClaimRequest)}, evenly spread below the bound. */
    static int partition(String digest, int partitions) {
        byte[] bytes = Base64.getUrlDecoder().decode(digest);
        return Math.floorMod(ByteBuffer.wrap(bytes).getInt(), partitions);
    }

    static long weight(String... texts) {
        return ByteBuffer.wrap(sha256(texts)).getLong();
    }

    /** Keeps a short text and replaces a long one by its digest, so that records are bounded. */
    static String shortened(String text) {
        return text.length() <= SHORT_LENGTH
                ? text
                : Base64.getUrlEncoder().withoutPadding().encodeToString(sha256(text));
    }

    private static byte[] sha256(String... texts) {
        MessageDigest sha;
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        for (String text : texts) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
            sha.update(bytes);
        }
        return sha.digest();
    }
}
