package org.snipeslip.standin;

/**
 * Immutable properties of a backend server stand-in.
 *
 * @param host IP address to listen on
 * @param port TCP port
 * @param slots calls processed concurrently
 * @param meanServiceMicros mean of its exponentially distributed service time; 0 means that calls
 *     are answered immediately
 * @param queueLimit queued calls above which further calls are refused as not run
 * @param seed seed of the random service times
 */
public record BackendServerSpec(
        String host, int port, int slots, long meanServiceMicros, int queueLimit, long seed) {}
