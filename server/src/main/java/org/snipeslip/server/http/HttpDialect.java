package org.snipeslip.server.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.function.Function;
import org.snipeslip.core.call.LoadReport;

/**
 * The header fields that callers, instances and backend servers use to exchange data about a call,
 * and how they are used.
 *
 * @param requestId id of a call in requests and responses
 * @param deadlineMillis time left until the caller's deadline, in milliseconds
 * @param load load of a backend server in its responses
 * @param rateLimit calls a second that a backend server accepts from all instances together, a
 *     decimal number in its responses; null if servers name no limit
 * @param leaving 1 in the responses of a backend server that will end; null if servers do not say
 *     so
 * @param coldMillis time for which a backend server will still be cold, in milliseconds, in its
 *     responses; null if servers do not say so
 * @param notRun present in a response if the backend server did not start to process the call
 * @param expectedServer name of the backend server that a call is addressed to; a server with
 *     another name refuses it with 421; null if servers do not check it
 * @param serverName name of the backend server in its responses to probes; null if these carry no
 *     name, in which case only responses with status 200 are accepted
 * @param apiKey API key of the caller in its requests, which no one else is sent; null if callers
 *     have none
 * @param organisation name of the caller's organisation in requests to backend servers, whatever
 *     the caller sends; null if they are not told
 * @param loadReader parses the value of the load field; its argument is null if the field is absent
 * @param callerSetsRequestId whether callers set the request id and backend servers repeat it in
 *     their responses; otherwise the instance sets it
 * @param propagatesCallTree whether depth, retries left, organisation, idempotency key and the
 *     caller's address are passed along with a call
 * @param fractionalRetryAfter whether Retry-After may carry fractions of a second
 * @param defaultIdleMillis how long a connection to a backend server may be idle and still be
 *     reused, if the server sends no Keep-Alive timeout
 * @param logsCallEnds whether the end of each call is logged in addition to its decisions
 */
public record HttpDialect(
        HttpString requestId,
        HttpString deadlineMillis,
        HttpString load,
        HttpString rateLimit,
        HttpString leaving,
        HttpString coldMillis,
        HttpString notRun,
        HttpString expectedServer,
        HttpString serverName,
        HttpString apiKey,
        HttpString organisation,
        Function<String, LoadReport> loadReader,
        boolean callerSetsRequestId,
        boolean propagatesCallTree,
        boolean fractionalRetryAfter,
        long defaultIdleMillis,
        boolean logsCallEnds) {
    private static final long IDLE_MILLIS = 60_000;

    /** Value of the field of a backend server that will end; any other value says nothing. */
    private static final String LEAVING = "1";

    /** The header fields that snipeslip defines. */
    public static final HttpDialect SNIPESLIP =
            new HttpDialect(
                    SnipeslipHeaders.REQUEST_ID,
                    SnipeslipHeaders.DEADLINE_MILLIS,
                    SnipeslipHeaders.LOAD,
                    null,
                    null,
                    null,
                    SnipeslipHeaders.NOT_RUN,
                    null,
                    null,
                    null,
                    null,
                    LoadHeader::parse,
                    false,
                    true,
                    false,
                    IDLE_MILLIS,
                    false);

    /**
     * Reads what a response says about its backend server: load, rate limit, coming end and cold
     * period.
     */
    LoadReport readLoad(HeaderMap headers) {
        return loadReader
                .apply(headers.getFirst(load))
                .withRateLimit(RateLimitHeader.read(rateLimit, headers))
                .withLeaving(leaving != null && LEAVING.equals(headers.getFirst(leaving)))
                .withColdMillis(ColdTimeHeader.read(coldMillis, headers));
    }

    /**
     * Returns a copy of this dialect that does not log the ends of calls.
     *
     * @return copy with {@code logsCallEnds} set to false
     */
    public HttpDialect withoutCallEndLogging() {
        return new HttpDialect(
                requestId,
                deadlineMillis,
                load,
                rateLimit,
                leaving,
                coldMillis,
                notRun,
                expectedServer,
                serverName,
                apiKey,
                organisation,
                loadReader,
                callerSetsRequestId,
                propagatesCallTree,
                fractionalRetryAfter,
                defaultIdleMillis,
                false);
    }
}
