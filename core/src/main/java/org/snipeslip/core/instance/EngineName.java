package org.snipeslip.core.instance;

/** Part of the state machine that a timer or an object API call belongs to. */
public enum EngineName {
    /** Calls. */
    CALL,
    /** Membership and configuration. */
    CONTROL,
    /** At-most-once claims. */
    ONCE,
    /** The instance itself. */
    INSTANCE
}
