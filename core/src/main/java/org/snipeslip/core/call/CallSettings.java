package org.snipeslip.core.call;

/**
 * Settings of calls.
 *
 * @param maxTries tries of one call, the first included
 * @param maxDepth calls deeper than this are refused, so that loops end
 * @param queueLimit calls that may wait for one service
 */
public record CallSettings(int maxTries, int maxDepth, int queueLimit) {
    /** Defaults. */
    public static final CallSettings DEFAULT = new CallSettings(3, 8, 1_024);
}
