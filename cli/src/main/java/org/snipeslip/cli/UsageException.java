package org.snipeslip.cli;

/** The command line does not fit the command. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
