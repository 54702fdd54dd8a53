package org.snipeslip.server.http;

import io.undertow.util.HttpString;

/** Names of the header fields that snipeslip defines for callers and backend servers. */
public final class SnipeslipHeaders {
    /** Time left until the caller's deadline, in milliseconds. */
    public static final HttpString DEADLINE_MILLIS = new HttpString("Snipeslip-Deadline-Ms");

    /** Number of load-balanced calls above this one in the call tree. */
    public static final HttpString DEPTH = new HttpString("Snipeslip-Depth");

    /** Number of retries left for the whole call tree. */
    public static final HttpString RETRIES_LEFT = new HttpString("Snipeslip-Retries-Left");

    /** Id of the caller's organisation. */
    public static final HttpString ORGANISATION = new HttpString("Snipeslip-Organisation");

    /** Id of the call in responses, logs and the explain output. */
    public static final HttpString REQUEST_ID = new HttpString("Snipeslip-Request-Id");

    /** Load of a backend server, for example "3/4;d"; see {@link LoadHeader}. */
    public static final HttpString LOAD = new HttpString("Snipeslip-Load");

    /** Set by a backend server that refused a call without starting to process it. */
    public static final HttpString NOT_RUN = new HttpString("Snipeslip-Not-Run");

    /** The caller's idempotency key. */
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    /** Marks a replayed response: "1" with its complete body, "0" if the body was not recorded. */
    public static final HttpString REPLAYED = new HttpString("Snipeslip-Replayed");

    /** Set by an instance that passes a call to another one; see {@link HandoverHeader}. */
    static final HttpString HANDOVER = new HttpString("Snipeslip-Handover");

    private SnipeslipHeaders() {}
}
