package org.snipeslip.core.instance;

/** Part of the state machine that owns a timer or an object API call. */
public enum EngineName {
    /** Call handling. */
    CALL,
    /** Membership and configuration, or discovery. */
    CONTROL,
    /** At-most-once claims. */
    IDEMPOTENCY,
    /** What instances tell one another about suspected requests. */
    SUSPECTS,
    /** Links to the backend servers, and calls that other instances send meanwhile. */
    DETOUR,
    /** Rollouts of new versions. */
    ROLLOUTS,
    /** Quotas of organisations, and what instances lend one another of them. */
    QUOTAS,
    /** The instance as a whole: start and stop. */
    INSTANCE
}
