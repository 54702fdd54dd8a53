package org.snipeslip.server.settings;

/**
 * Limits of one call and of the calls that wait.
 *
 * @param headerBytes largest head of a request or an answer
 * @param bodyBytes largest body of a request; bodies are streamed, so it costs no memory
 * @param queue calls that may wait for one service
 */
public record LimitSettings(int headerBytes, long bodyBytes, int queue) {
    /** Defaults. */
    public static final LimitSettings DEFAULT = new LimitSettings(16_384, 64L << 20, 1_024);
}
