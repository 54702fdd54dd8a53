package org.snipeslip.server.settings;

/**
 * Budget of the object API calls of one instance.
 *
 * @param callsPerSecond calls in the long run; a pending watch counts as one
 * @param burst calls that may be saved up
 */
public record ObjectApiBudget(int callsPerSecond, int burst) {
    /** Defaults. 17 instances together stay below a fifth of 2,000 reads/s. */
    public static final ObjectApiBudget DEFAULT = new ObjectApiBudget(20, 40);
}
