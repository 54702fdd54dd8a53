package org.snipeslip.server.operator;

/** How a call ended. The names appear in lower case in metrics and log lines. */
public enum CallResult {
    /** The complete response of a backend server was relayed to the caller. */
    RELAYED,
    /** The recorded response to an earlier submission of the same call was sent again. */
    REPLAYED,
    /** The instance refused the call with a response of its own. */
    REFUSED,
    /** The response to the caller was cut off. */
    BROKEN,
    /** The caller closed its connection before the response was complete. */
    CALLER_GONE
}
