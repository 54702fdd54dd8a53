package org.snipeslip.cli;

import java.io.IOException;

/** A file that the command line names cannot be read. */
final class BadInputException extends IOException {
    private static final long serialVersionUID = 1;

    BadInputException(IOException cause) {
        super(cause.toString(), cause);
    }
}
