package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.concurrent.TimeUnit;

/** How long an idle connection to a backend server may be used again. */
final class KeepAlive {
    private static final String TIMEOUT = "timeout=";

    /**
     * Time before the server's timeout at which a connection is given up: a request that crosses
     * the server's close is lost, and may not be sent again if it is not idempotent.
     */
    private static final long MARGIN_MILLIS = 2_000;

    private KeepAlive() {}

    /**
     * Returns the time after a response during which its connection may be used, in nanoseconds.
     */
    static long usableNanos(HeaderMap response, long defaultMillis) {
        String value = response.getFirst(Headers.KEEP_ALIVE);
        long statedMillis = value == null ? -1 : timeoutMillis(value);
        long millis = statedMillis < 0 ? defaultMillis : Math.max(0, statedMillis - MARGIN_MILLIS);
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long timeoutMillis(String value) {
        int start = value.indexOf(TIMEOUT);
        if (start < 0) {
            return -1;
        }
        int end = start + TIMEOUT.length();
        long seconds = 0;
        int digits = 0;
        while (end < value.length() && Character.digit(value.charAt(end), 10) >= 0 && digits < 6) {
            seconds = seconds * 10 + Character.digit(value.charAt(end++), 10);
            digits++;
        }
        return digits == 0 ? -1 : TimeUnit.SECONDS.toMillis(seconds);
    }
}
