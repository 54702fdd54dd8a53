package org.snipeslip.core.config;

/** Priority of a call while it waits for capacity. */
public enum CallClass {
    /** A person is waiting for the answer. */
    INTERACTIVE,
    /** May wait while interactive calls are served. */
    BATCH
}
