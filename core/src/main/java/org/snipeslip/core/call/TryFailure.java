package org.snipeslip.core.call;

/** Reason why a try ended without a complete response. */
public enum TryFailure {
    /** No connection could be opened, so no byte was sent. */
    NOT_CONNECTED(false),
    /** No connection was opened in time, so no byte was sent. */
    CONNECT_TIMED_OUT(false),
    /** All connections of this instance to the backend server were in use; no byte was sent. */
    NO_CONNECTION_LEFT(false),
    /** The backend server left service before the request was sent; no byte was sent. */
    SERVER_LEFT(false),
    /** The backend server refused the call before the work started. */
    REFUSED_NOT_RUN(false),
    /** The connection failed before a response head, and request bytes may have been sent. */
    BROKEN_BEFORE_HEAD(true),
    /** The connection failed after the response head, within the body. */
    BROKEN_BODY(true),
    /** The framing of the body of the response was malformed. */
    MALFORMED_BODY(true),
    /** The deadline passed without a response head. */
    TIMED_OUT(true),
    /** The response was not valid HTTP. */
    MALFORMED(true),
    /** The try was cancelled by the instance. */
    CANCELLED(true),
    /** The caller's request body was truncated or malformed after bytes were sent. */
    REQUEST_BODY_BROKEN(true);

    private final boolean mayHaveStarted;

    TryFailure(boolean mayHaveStarted) {
        this.mayHaveStarted = mayHaveStarted;
    }

    /**
     * Returns whether any byte of the request may have reached the backend server.
     *
     * @return false if there was no connection, or none was used
     */
    public boolean mayHaveSent() {
        return switch (this) {
            case NOT_CONNECTED, CONNECT_TIMED_OUT, NO_CONNECTION_LEFT, SERVER_LEFT -> false;
            default -> true;
        };
    }

    /**
     * Returns whether the connection was lost while the request may have been running.
     *
     * @return true if the crash of the backend server is one of the possible causes
     */
    public boolean lostConnection() {
        return this == BROKEN_BEFORE_HEAD || this == BROKEN_BODY;
    }

    /**
     * Returns whether the backend server sent bytes that are no response.
     *
     * @return true if the head or the framing of the body was malformed
     */
    public boolean malformedResponse() {
        return this == MALFORMED || this == MALFORMED_BODY;
    }

    /**
     * Returns whether the backend server may have started the work.
     *
     * @return false only if it provably did not
     */
    public boolean mayHaveStarted() {
        return mayHaveStarted;
    }
}
