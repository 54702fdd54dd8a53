package org.snipeslip.core.call;

/** How a try ended without a whole response. */
public enum TryFailure {
    /** No connection could be opened, so no byte was sent. */
    NOT_CONNECTED(false),
    /** The instance held all connections allowed to the backend server; no byte was sent. */
    NO_CONNECTION_LEFT(false),
    /** The backend server refused the call before it began. */
    REFUSED_NOT_RUN(false),
    /** The connection broke after bytes of the request may have been sent. */
    BROKEN_BEFORE_HEAD(true),
    /** The response broke off after its head. */
    BROKEN_BODY(true),
    /** The deadline passed without a response head. */
    TIMED_OUT(true),
    /** The response was not valid HTTP. */
    MALFORMED(true),
    /** The try was cancelled by the instance. */
    CANCELLED(true),
    /** The caller's request body broke off or was malformed after bytes were sent. */
    REQUEST_BODY_BROKEN(true);

    private final boolean mayHaveStarted;

    TryFailure(boolean mayHaveStarted) {
        this.mayHaveStarted = mayHaveStarted;
    }

    /**
     * Tells whether any byte of the request may have reached the backend server.
     *
     * @return false if there was no connection
     */
    public boolean mayHaveSent() {
        return this != NOT_CONNECTED && this != NO_CONNECTION_LEFT;
    }

    /**
     * Tells whether the backend server may have begun the work.
     *
     * @return false only if it provably did not
     */
    public boolean mayHaveStarted() {
        return mayHaveStarted;
    }
}
