package org.snipeslip.server.log;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.server.operator.CallResult;

/** Writes one line for the end of each call, for engineers who start from its id. */
public final class CallLog {
    private static final Logger LOG = LoggerFactory.getLogger("snipeslip.call");
    private static final double NANOS_PER_MILLI = 1e6;

    private CallLog() {}

    /**
     * Logs the end of a call.
     *
     * @param request names the call
     * @param result how it ended
     * @param status HTTP status, or 0 if no response was begun
     * @param totalNanos time from its arrival to its end
     * @param serverNanos time from the last send to the end of the response, or 0
     * @param tries tries that were begun
     */
    public static void ended(
            RequestId request,
            CallResult result,
            int status,
            long totalNanos,
            long serverNanos,
            int tries) {
        LOG.atInfo()
                .addKeyValue("request", request.value())
                .addKeyValue("result", result.name().toLowerCase(Locale.ROOT))
                .addKeyValue("status", status)
                .addKeyValue("totalMillis", totalNanos / NANOS_PER_MILLI)
                .addKeyValue("serverMillis", serverNanos / NANOS_PER_MILLI)
                .addKeyValue("tries", tries)
                .log("call ended");
    }
}
