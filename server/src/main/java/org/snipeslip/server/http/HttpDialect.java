package org.snipeslip.server.http;

import io.undertow.util.HttpString;
import java.util.function.Function;
import org.snipeslip.core.call.LoadReport;

/**
 * The header fields by which callers, instances and backend servers tell each other about a call.
 *
 * @param requestId identity of a call in requests and responses
 * @param deadlineMillis time left until the caller's deadline, in milliseconds
 * @param load load of a backend server in its responses
 * @param notRun present in a response if the backend server did not begin the call
 * @param expectedServer names the backend server that a call is meant for; a server of another name
 *     refuses it with 421; null if servers do not check it
 * @param serverName names the backend server in its answers to probes; null if they carry no name,
 *     and only those with status 200 count
 * @param loadReader reads the value of the load field, which may be null
 * @param callerNamesCall whether callers set the request id and responses of backend servers repeat
 *     it; otherwise the instance sets it
 * @param carriesCallTree whether depth, retries left, organisation, idempotency key and the
 *     caller's address travel with a call
 * @param fractionalRetryAfter whether Retry-After may carry fractions of a second
 * @param defaultIdleMillis how long a connection to a backend server may be idle before its next
 *     use, where the server states no timeout
 * @param logsEnds whether the end of each call is logged beside its decisions
 */
public record HttpDialect(
        HttpString requestId,
        HttpString deadlineMillis,
        HttpString load,
        HttpString notRun,
        HttpString expectedServer,
        HttpString serverName,
        Function<String, LoadReport> loadReader,
        boolean callerNamesCall,
        boolean carriesCallTree,
        boolean fractionalRetryAfter,
        long defaultIdleMillis,
        boolean logsEnds) {
    private static final long OWN_IDLE_MILLIS = 60_000;

    /** The header fields of this project. */
    public static final HttpDialect SNIPESLIP =
            new HttpDialect(
                    SnipeslipHeaders.REQUEST_ID,
                    SnipeslipHeaders.DEADLINE_MILLIS,
                    SnipeslipHeaders.LOAD,
                    SnipeslipHeaders.NOT_RUN,
                    null,
                    null,
                    LoadHeader::parse,
                    false,
                    true,
                    false,
                    OWN_IDLE_MILLIS,
                    false);

    /**
     * Returns the same fields without lines about the ends of calls.
     *
     * @return the changed dialect
     */
    public HttpDialect withoutEnds() {
        return new HttpDialect(
                requestId,
                deadlineMillis,
                load,
                notRun,
                expectedServer,
                serverName,
                loadReader,
                callerNamesCall,
                carriesCallTree,
                fractionalRetryAfter,
                defaultIdleMillis,
                false);
    }
}
