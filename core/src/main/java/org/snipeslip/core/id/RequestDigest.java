package org.snipeslip.core.id;

import java.util.HexFormat;

/**
 * Cryptographic digest of what makes two requests the same: method, host, path with query, caller
 * and body. It does not include the request id, which differs between repetitions.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record RequestDigest(long high, long low) {
    private static final HexFormat HEX = HexFormat.of();
    private static final int LENGTH = 32;

    /**
     * Parses the text form.
     *
     * @param text 32 hexadecimal digits
     * @return the digest
     * @throws NumberFormatException if the text is not a digest
     */
    public static RequestDigest parse(String text) {
        if (text.length() != LENGTH) {
            throw new NumberFormatException(
                    "digest of a request: found " + text.length() + " digits, expected " + LENGTH);
        }
        return new RequestDigest(
                Long.parseUnsignedLong(text, 0, LENGTH / 2, 16),
                Long.parseUnsignedLong(text, LENGTH / 2, LENGTH, 16));
    }

    @Override
    public String toString() {
        return HEX.toHexDigits(high) + HEX.toHexDigits(low);
    }
}
