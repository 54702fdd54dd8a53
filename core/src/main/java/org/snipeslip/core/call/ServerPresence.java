package org.snipeslip.core.call;

/** What the check of a backend server has shown. */
public enum ServerPresence {
    /** It answers. */
    RUNNING,
    /** Its address refuses connections, or another server answers there. */
    GONE,
    /** Nothing was heard, as from a frozen server or one behind a network partition. */
    UNKNOWN
}
