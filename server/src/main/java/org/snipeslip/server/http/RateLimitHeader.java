package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.math.BigDecimal;
import org.snipeslip.core.ratelimit.RateLimit;

/** Parses the header field in which a backend server names the rate of calls that it accepts. */
final class RateLimitHeader {
    private static final int MAX_LENGTH = 32;

    private RateLimitHeader() {}

    /**
     * Reads the field.
     *
     * @param name name of the field, or null if servers name no limit
     * @return the limit; a malformed value says nothing, so that what was known before holds
     */
    static RateLimit read(HttpString name, HeaderMap headers) {
        if (name == null) {
            return RateLimit.UNKNOWN;
        }
        String value = headers.getFirst(name);
        return value == null ? RateLimit.UNLIMITED : parse(value.trim());
    }

    private static RateLimit parse(String value) {
        if (value.length() > MAX_LENGTH) {
            return RateLimit.UNKNOWN;
        }
        try {
            return new RateLimit.CallsPerSecond(new BigDecimal(value).doubleValue());
        } catch (IllegalArgumentException e) {
            return RateLimit.UNKNOWN;
        }
    }
}
