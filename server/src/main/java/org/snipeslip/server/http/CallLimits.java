package org.snipeslip.server.http;

/**
 * Bounds on one request and on the memory of request bodies that are kept for a second try.
 *
 * @param maxHeaderBytes size of all header fields; a larger head is refused with 431
 * @param maxUriBytes size of path and query; a longer one is refused with 414
 * @param maxBodyBytes size of a request body; a larger one is refused with 413
 * @param keptBodyBytes largest body that is kept for a second try
 * @param keptBodiesTotalBytes memory for all kept bodies of the process; beyond it bodies are
 *     streamed once
 */
public record CallLimits(
        int maxHeaderBytes,
        int maxUriBytes,
        long maxBodyBytes,
        int keptBodyBytes,
        long keptBodiesTotalBytes) {
    /** Defaults. */
    public static final CallLimits DEFAULT =
            new CallLimits(32 * 1024, 8 * 1024, 64L << 20, 64 * 1024, 64L << 20);

    /**
     * Returns the size of a request head at which the parser gives up. It leaves room above the
     * other limits, so that heads slightly above them still get a typed answer.
     *
     * @return size in bytes
     */
    public int parserBytes() {
        return 2 * (maxHeaderBytes + maxUriBytes);
    }
}
