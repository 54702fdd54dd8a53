package org.snipeslip.server.http;

import io.undertow.util.StatusCodes;
import java.util.Locale;

/** Why a request is refused before it becomes a call, or while its body is read. */
enum RequestFault {
    /** Both Content-Length and Transfer-Encoding, or several lengths: the framing is ambiguous. */
    AMBIGUOUS_FRAMING(StatusCodes.BAD_REQUEST),
    /** A Content-Length that is not a plain decimal number. */
    INVALID_CONTENT_LENGTH(StatusCodes.BAD_REQUEST),
    /** A transfer coding other than a single "chunked". */
    INVALID_TRANSFER_CODING(StatusCodes.BAD_REQUEST),
    /** No Host, several, or one that is not a host name. */
    INVALID_HOST(StatusCodes.BAD_REQUEST),
    /** A request target that is not a path, or whose authority differs from Host. */
    INVALID_TARGET(StatusCodes.BAD_REQUEST),
    /** A header field that holds a line break or NUL. */
    INVALID_HEADER(StatusCodes.BAD_REQUEST),
    /** A header field that goes on in the next line (RFC 9112 section 5.2). */
    OBSOLETE_LINE_FOLDING(StatusCodes.BAD_REQUEST),
    /** A numeric header field of this project that is not a number in range. */
    INVALID_NUMBER(StatusCodes.BAD_REQUEST),
    /** The chunks of the body are malformed. */
    MALFORMED_BODY(StatusCodes.BAD_REQUEST),
    /** An Expect other than 100-continue. */
    EXPECTATION_FAILED(StatusCodes.EXPECTATION_FAILED),
    /** Path and query are longer than allowed. */
    URI_TOO_LONG(StatusCodes.REQUEST_URI_TOO_LARGE),
    /** The header fields are larger than allowed. */
    HEADERS_TOO_LARGE(431),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(StatusCodes.REQUEST_ENTITY_TOO_LARGE),
    /** CONNECT is not offered. */
    METHOD_NOT_OFFERED(StatusCodes.NOT_IMPLEMENTED);

    private final int status;

    RequestFault(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
