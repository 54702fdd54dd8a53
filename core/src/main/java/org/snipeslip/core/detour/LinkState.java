package org.snipeslip.core.detour;

/** What an instance believes about its own links to the backend servers. */
public enum LinkState {
    /** Servers answer, or nothing was sent. */
    CONNECTED,
    /** Some servers cannot be reached; others answer. */
    DOUBTFUL,
    /** No server can be reached, so that the instance itself is probably cut off. */
    CUT_OFF
}
