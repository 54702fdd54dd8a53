package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.concurrent.TimeUnit;

/** Computes how long an idle connection to a backend server may be reused. */
final class KeepAlive {
    private static final String TIMEOUT_PARAMETER = "timeout=";

    /**
     * Time before the server's timeout at which a connection is discarded. A request that is sent
     * while the server closes the connection is lost, and must not be retried unless it is
     * idempotent.
     */
    private static final long SAFETY_MARGIN_MILLIS = 2_000;

    private KeepAlive() {}

    /**
     * Returns the time after a response during which its connection may be reused, in nanoseconds.
     * Uses the timeout of the Keep-Alive header, or the default if the server sent none.
     */
    static long reusableNanos(HeaderMap response, long defaultMillis) {
        String value = response.getFirst(Headers.KEEP_ALIVE);
        long advertisedMillis = value == null ? -1 : timeoutMillis(value);
        long millis =
                advertisedMillis < 0
                        ? defaultMillis
                        : Math.max(0, advertisedMillis - SAFETY_MARGIN_MILLIS);
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long timeoutMillis(String value) {
        int start = value.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return -1;
        }
        int end = start + TIMEOUT_PARAMETER.length();
        long seconds = 0;
        int digits = 0;
        while (end < value.length() && Character.digit(value.charAt(end), 10) >= 0 && digits < 6) {
            seconds = seconds * 10 + Character.digit(value.charAt(end++), 10);
            digits++;
        }
        return digits == 0 ? -1 : TimeUnit.SECONDS.toMillis(seconds);
    }
}
