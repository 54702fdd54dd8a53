package org.snipeslip.core.instance;

/**
 * Names a timer. A second timer of the same name replaces the first.
 *
 * @param owner the engine that set it
 * @param key tells the engine's timers apart
 */
public record TimerId(Owner owner, String key) {
    /** The engine that a timer belongs to. */
    public enum Owner {
        /** Calls. */
        CALL,
        /** Membership and configuration. */
        CONTROL,
        /** At-most-once claims. */
        ONCE,
        /** The instance itself. */
        INSTANCE
    }
}
