package org.snipeslip.server.settings;

/**
 * Limits of the size of a call and of the waiting queue.
 *
 * @param headerBytes maximum size of the head of a request or response
 * @param bodyBytes maximum size of a request body; bodies are streamed, so it uses no memory
 * @param queue maximum number of calls waiting for one service
 */
public record LimitSettings(int headerBytes, long bodyBytes, int queue) {
    /** Default limits: 16 KiB of headers, 64 MiB of body and 1024 waiting calls. */
    public static final LimitSettings DEFAULT = new LimitSettings(16_384, 64L << 20, 1_024);
}
