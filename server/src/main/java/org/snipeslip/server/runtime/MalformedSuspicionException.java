package org.snipeslip.server.runtime;

/** A message about a suspected request could not be read. */
final class MalformedSuspicionException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedSuspicionException(String message, RuntimeException cause) {
        super(message, cause);
    }
}
