package org.snipeslip.standin;

/**
 * Injected faults of the object API stand-in; also the JSON body of {@code /control/faults}.
 *
 * @param down whether it closes each connection without executing the call
 * @param delayMillis delay before each call is executed
 * @param lostAnswers share of writes, from 0 to 1, that take effect but receive no response
 */
public record StoreFaults(boolean down, long delayMillis, double lostAnswers) {
    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0);
}
