package org.snipeslip.standin;

/**
 * Faults of the object API stand-in.
 *
 * @param down whether it closes each connection without carrying out the call
 * @param delayMillis added to each call before it takes effect
 * @param lostAnswers share of writes, from 0 to 1, that take effect and get no answer
 */
public record StoreFaults(boolean down, long delayMillis, double lostAnswers) {
    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0);
}
