package org.snipeslip.server.log;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.server.operator.CallResult;

/**
 * Logs one line at the end of each call, so that operators can look a call up by its request id.
 */
public final class CallLog {
    private static final Logger LOG = LoggerFactory.getLogger("snipeslip.call");
    private static final double NANOS_PER_MILLI = 1e6;

    private CallLog() {}

    /**
     * Logs the end of a call.
     *
     * @param request request id of the call
     * @param result how the call ended
     * @param status HTTP status, or 0 if no response was started
     * @param totalNanos time from the arrival of the call to its end
     * @param serverNanos time from the last send to a backend server to the end of its response, or
     *     0 if there was none
     * @param tries number of tries that were started
     */
    public static void logCallEnd(
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
