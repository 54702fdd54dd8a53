package org.snipeslip.core.call;

/** Reason why an instance refused a call, with the HTTP status code of the refusal. */
public enum RefusalReason {
    /** No route matches host, path and method. */
    NO_ROUTE(404),
    /** The caller named an organisation that does not exist. */
    UNKNOWN_ORGANISATION(403),
    /** The caller has no API key, or one that no organisation has. */
    UNKNOWN_KEY(401),
    /**
     * It is too long since the configuration was shown to be the newest one, which has the keys.
     */
    KEY_NOT_FRESH(503),
    /** The call must be served in other regions. */
    OUTSIDE_HOME_REGIONS(421),
    /** No backend server is eligible for the call. */
    NO_BACKEND_SERVER(503),
    /** The queue is full or the wait would exceed the deadline. */
    OVERLOADED(503),
    /** Every server with room names a rate limit, of which this instance has used up its share. */
    RATE_LIMITED(503),
    /** The organisation has used up its share of the queue while others wait. */
    ORGANISATION_OVER_SHARE(429),
    /** The organisation has used up its quota over all instances. */
    QUOTA_EXCEEDED(429),
    /** The call passed more load balancers than allowed, probably because of a loop. */
    TOO_DEEP(508),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** The connection to the backend server failed. */
    BACKEND_SERVER_FAILED(502),
    /**
     * The backend server responded with a status that states that the call did not run, but not in
     * the way in which backend servers refuse calls before they begin to run them.
     */
    NOT_RUN_UNPROVEN(502),
    /** The backend server refused the call and no further try is allowed. */
    BACKEND_SERVER_REFUSED(503),
    /** No connection to a backend server could be opened. */
    BACKEND_SERVER_UNREACHABLE(503),
    /** This instance reaches no backend server, and knows no other one that would send the call. */
    CUT_OFF(503),
    /** Backend servers crashed one after another while they ran the same request. */
    CRASHES_BACKEND_SERVERS(503),
    /** A call with the same idempotency key is still running. */
    IN_PROGRESS(409),
    /** An earlier call with the same idempotency key may have run. */
    EARLIER_OUTCOME_UNKNOWN(409),
    /** The idempotency key was used for another request. */
    KEY_REUSED(422),
    /** The record of idempotency keys cannot be reached. */
    ONCE_UNAVAILABLE(503),
    /** The instance has no configuration yet, or not the one by which a passed call is handled. */
    NOT_READY(503),
    /** The instance is stopping. */
    STOPPING(503);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code; {@link Refusal#status} replaces it where the work may have run.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the value used in responses and logs.
     *
     * @return the name in lower case with hyphens
     */
    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
