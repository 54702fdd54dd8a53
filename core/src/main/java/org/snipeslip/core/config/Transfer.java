package org.snipeslip.core.config;

/** Which bodies of a route's calls are large. */
public enum Transfer {
    /** Neither requests nor responses are large. */
    SMALL,
    /** Requests have large bodies. */
    UPLOAD,
    /** Responses have large bodies. */
    DOWNLOAD
}
