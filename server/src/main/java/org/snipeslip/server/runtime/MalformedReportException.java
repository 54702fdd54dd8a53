package org.snipeslip.server.runtime;

/** A report on a rollout that cannot be decoded. */
final class MalformedReportException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedReportException(String message, Throwable cause) {
        super(message, cause);
    }
}
