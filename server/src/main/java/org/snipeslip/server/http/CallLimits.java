package org.snipeslip.server.http;

/**
 * Limits on one request and on the memory for request bodies that are retained for another try.
 *
 * @param maxHeaderBytes maximum size of all header fields; a larger head is refused with 431
 * @param maxUriBytes maximum size of path and query; a longer target is refused with 414
 * @param maxBodyBytes maximum size of a request body; a larger body is refused with 413
 * @param maxReplayableBodyBytes maximum size of a body that is retained for another try
 * @param maxReplayableBodiesTotalBytes memory for all retained bodies of the process; when it is
 *     used up, further bodies are streamed and cannot be sent again
 */
public record CallLimits(
        int maxHeaderBytes,
        int maxUriBytes,
        long maxBodyBytes,
        int maxReplayableBodyBytes,
        long maxReplayableBodiesTotalBytes) {
    private static final long MAX_REPLAYABLE_BYTES = 64L << 20;
    private static final int HEAP_PER_REPLAYABLE_BODIES = 8;

    /** Limits used where the settings do not specify others. */
    public static final CallLimits DEFAULT =
            new CallLimits(
                    32 * 1024,
                    8 * 1024,
                    64L << 20,
                    64 * 1024,
                    Math.min(
                            MAX_REPLAYABLE_BYTES,
                            Runtime.getRuntime().maxMemory() / HEAP_PER_REPLAYABLE_BODIES));

    /**
     * Returns the size of a request head at which Undertow's parser rejects it. It is above the
     * other limits, so that heads that slightly exceed those still get a response with a reason.
     *
     * @return size in bytes
     */
    public int parserMaxHeadBytes() {
        return 2 * (maxHeaderBytes + maxUriBytes);
    }
}
