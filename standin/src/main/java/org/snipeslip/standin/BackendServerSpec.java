package org.snipeslip.standin;

/**
 * Fixed properties of a backend server stand-in.
 *
 * @param host IP address to listen on
 * @param port TCP port
 * @param slots calls it works on at once
 * @param meanServiceMicros mean of its exponentially distributed service time; 0 answers at once
 * @param queueLimit calls it holds before it refuses as not run
 * @param seed seed of service times
 */
public record BackendServerSpec(
        String host, int port, int slots, long meanServiceMicros, int queueLimit, long seed) {}
