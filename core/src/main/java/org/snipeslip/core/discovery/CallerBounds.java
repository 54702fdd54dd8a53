package org.snipeslip.core.discovery;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes size of all header fields
 * @param maxBodyBytes size of a request body
 * @param headerMillis time for the head of a request
 * @param idleMillis time that a connection may stay idle between requests
 */
public record CallerBounds(
        int maxHeaderBytes, long maxBodyBytes, long headerMillis, long idleMillis) {}
