package org.snipeslip.core.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest of the API key of an organisation. The key itself is digested where it is read and kept
 * nowhere, so that no log line, message or crash report can hold it.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record ApiKeyDigest(long high, long low) {
    private static final HexFormat HEX = HexFormat.of();
    private static final int LENGTH = 32;
    private static final int RADIX = 16;

    /**
     * Digests a key.
     *
     * @param key text of the key, as callers send it
     * @return the first half of its SHA-256 digest
     */
    public static ApiKeyDigest ofKey(String key) {
        try {
            byte[] bytes =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return parse(HEX.formatHex(bytes, 0, LENGTH / 2));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, which every Java platform must provide", e);
        }
    }

    /**
     * Parses the text form.
     *
     * @param text 32 hexadecimal digits
     * @return the digest
     * @throws NumberFormatException if the text is not a digest
     */
    public static ApiKeyDigest parse(String text) {
        if (text.length() != LENGTH) {
            throw new NumberFormatException(
                    "digest of an API key: found " + text.length() + " digits, expected " + LENGTH);
        }
        return new ApiKeyDigest(
                Long.parseUnsignedLong(text, 0, LENGTH / 2, RADIX),
                Long.parseUnsignedLong(text, LENGTH / 2, LENGTH, RADIX));
    }

    /** Returns the digits, which {@link #parse} reads. */
    @Override
    public String toString() {
        return HEX.toHexDigits(high) + HEX.toHexDigits(low);
    }
}
