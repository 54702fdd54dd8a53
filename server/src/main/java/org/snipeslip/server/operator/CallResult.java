package org.snipeslip.server.operator;

/** How a call ended, as counted in the metrics. */
public enum CallResult {
    /** A backend server's whole response was relayed. */
    RELAYED,
    /** The recorded answer of an earlier submission was given. */
    REPLAYED,
    /** The instance answered itself. */
    REFUSED,
    /** The response broke off. */
    BROKEN,
    /** The caller closed its connection first. */
    CALLER_GONE
}
