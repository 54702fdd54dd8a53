package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/** Parses the header field in which a backend server says how much longer it will be cold. */
final class ColdTimeHeader {
    /** A server that names a longer time is asked again before it has passed. */
    private static final long MAX_MILLIS = 600_000;

    private ColdTimeHeader() {}

    /**
     * Reads the field.
     *
     * @param name name of the field, or null if servers do not say it
     * @return the time in milliseconds; 0 if the field is absent or malformed, so that what was
     *     known before holds
     */
    static long read(HttpString name, HeaderMap headers) {
        String value = name == null ? null : headers.getFirst(name);
        if (value == null) {
            return 0;
        }
        try {
            return Math.clamp((long) Math.ceil(Double.parseDouble(value.trim())), 0, MAX_MILLIS);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
