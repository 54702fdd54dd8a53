package org.snipeslip.cli;

/** Thrown when the arguments of a command are missing or invalid. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
