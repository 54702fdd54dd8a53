package org.snipeslip.server.http;

import java.io.IOException;

/** A peer has sent something else than an HTTP response. */
final class MalformedResponseException extends IOException {
    MalformedResponseException(String message) {
        super(message);
    }
}
