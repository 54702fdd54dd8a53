package org.snipeslip.server.http;

import io.undertow.util.StatusCodes;
import java.util.Locale;

/** The reason why a request is refused, before it becomes a call or while its body is read. */
enum RequestFault {
    /** Both Content-Length and Transfer-Encoding, or more than one Content-Length. */
    AMBIGUOUS_FRAMING(StatusCodes.BAD_REQUEST),
    /** A Content-Length that is not a plain decimal number. */
    INVALID_CONTENT_LENGTH(StatusCodes.BAD_REQUEST),
    /** A transfer coding other than a single "chunked". */
    INVALID_TRANSFER_CODING(StatusCodes.BAD_REQUEST),
    /** Host is missing, repeated, or not a host name. */
    INVALID_HOST(StatusCodes.BAD_REQUEST),
    /** A request target that is not a path, or whose authority differs from Host. */
    INVALID_TARGET(StatusCodes.BAD_REQUEST),
    /** A header value that contains a control character other than tab. */
    INVALID_HEADER(StatusCodes.BAD_REQUEST),
    /** A header field that continues on the next line (RFC 9112 section 5.2). */
    OBSOLETE_LINE_FOLDING(StatusCodes.BAD_REQUEST),
    /** A numeric header field of this project that is repeated, not a number or out of range. */
    INVALID_NUMBER(StatusCodes.BAD_REQUEST),
    /** A field of another instance that has another form than {@link HandoverHeader}. */
    INVALID_HANDOVER(StatusCodes.BAD_REQUEST),
    /** The chunked coding of the body is malformed. */
    MALFORMED_BODY(StatusCodes.BAD_REQUEST),
    /** The body has not come within the caller's deadline. */
    BODY_TIMEOUT(StatusCodes.REQUEST_TIME_OUT),
    /** An Expect header other than a single 100-continue. */
    EXPECTATION_FAILED(StatusCodes.EXPECTATION_FAILED),
    /** Path and query exceed the limit. */
    URI_TOO_LONG(StatusCodes.REQUEST_URI_TOO_LARGE),
    /** The header fields exceed the limit. */
    HEADERS_TOO_LARGE(431),
    /** The body exceeds the limit. */
    BODY_TOO_LARGE(StatusCodes.REQUEST_ENTITY_TOO_LARGE),
    /** The method CONNECT, which is not supported. */
    METHOD_NOT_OFFERED(StatusCodes.NOT_IMPLEMENTED);

    private final int status;

    RequestFault(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    String reason() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
