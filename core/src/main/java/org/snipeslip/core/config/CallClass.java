package org.snipeslip.core.config;

/** Priority class of a call that is queued for a backend server. */
public enum CallClass {
    /** A person is waiting for the response. */
    INTERACTIVE,
    /** May be delayed in favour of interactive calls. */
    BATCH
}
