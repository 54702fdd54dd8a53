package org.snipeslip.core.discovery;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of all header fields of a request
 * @param maxBodyBytes maximum size of a request body
 * @param headerMillis time limit for receiving the head of a request
 * @param idleMillis idle timeout of a connection between requests
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerMillis, long idleMillis) {}
