package org.snipeslip.cli;

import java.io.IOException;

/** Thrown when an input file named on the command line cannot be read. */
final class BadInputException extends IOException {
    private static final long serialVersionUID = 1;

    BadInputException(IOException cause) {
        super(cause.toString(), cause);
    }
}
