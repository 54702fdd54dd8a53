package org.snipeslip.server.http;

import io.undertow.util.HttpString;

/** Header names of this project, as documented for callers and backend servers. */
public final class SnipeslipHeaders {
    /** Time left until the caller's deadline, in milliseconds. */
    public static final HttpString DEADLINE_MILLIS = new HttpString("Snipeslip-Deadline-Ms");

    /** Number of load-balanced calls above this one. */
    public static final HttpString DEPTH = new HttpString("Snipeslip-Depth");

    /** Retries that the whole call tree may still use. */
    public static final HttpString RETRIES_LEFT = new HttpString("Snipeslip-Retries-Left");

    /** The caller's organisation. */
    public static final HttpString ORGANISATION = new HttpString("Snipeslip-Organisation");

    /** Identity of the call in answers, logs and explanations. */
    public static final HttpString REQUEST_ID = new HttpString("Snipeslip-Request-Id");

    /** Load of a backend server, for example "3/4;d". */
    public static final HttpString LOAD = new HttpString("Snipeslip-Load");

    /** Set by a backend server that refused a call before it began. */
    public static final HttpString NOT_RUN = new HttpString("Snipeslip-Not-Run");

    /** The caller's idempotency key. */
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    /** Marks a recorded answer: "1" with its whole body, "0" if the body was not kept. */
    public static final HttpString REPLAYED = new HttpString("Snipeslip-Replayed");

    private SnipeslipHeaders() {}
}
