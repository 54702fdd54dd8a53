package org.snipeslip.server.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds on the open connections of callers together.
 *
 * @param maxConnections maximum number of connections
 * @param maxHeadBytes memory for the heads of their requests
 */
public record ConnectionLimits(int maxConnections, long maxHeadBytes) {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimits.class);
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final String DESCRIPTORS = "Max open files";
    private static final int DEFAULT_DESCRIPTORS = 1_024;

    /** Heap for a connection with a small request. */
    private static final int CONNECTION_BYTES = 32 * 1024;

    /** Descriptors are also needed for backend servers, other instances and the store. */
    private static final int DESCRIPTORS_PER_CONNECTION = 2;

    private static final int HEAP_PER_HEADS = 4;

    /**
     * Returns limits that fit the heap and the descriptors of this process.
     *
     * @return limits for the caller port
     */
    public static ConnectionLimits ofProcess() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        long byHeap = heapBytes / CONNECTION_BYTES;
        long byDescriptors = descriptors() / DESCRIPTORS_PER_CONNECTION;
        return new ConnectionLimits(
                (int) Math.max(1, Math.min(byHeap, byDescriptors)), heapBytes / HEAP_PER_HEADS);
    }

    /**
     * Returns limits for a port that only the platform calls.
     *
     * @param maxConnections maximum number of connections
     * @return limits with a small part of the heap
     */
    public static ConnectionLimits ofPlatformPort(int maxConnections) {
        return new ConnectionLimits(
                maxConnections, Runtime.getRuntime().maxMemory() / HEAP_PER_HEADS / HEAP_PER_HEADS);
    }

    /** Returns the number of descriptors that the process may open. */
    private static long descriptors() {
        try {
            for (String line : Files.readAllLines(PROCESS_LIMITS)) {
                if (line.startsWith(DESCRIPTORS)) {
                    String soft = line.substring(DESCRIPTORS.length()).strip().split("\\s+")[0];
                    return soft.equals("unlimited") ? Integer.MAX_VALUE : Long.parseLong(soft);
                }
            }
        } catch (IOException | NumberFormatException e) {
            LOG.warn("limit of descriptors cannot be read; {} are assumed", DEFAULT_DESCRIPTORS, e);
        }
        return DEFAULT_DESCRIPTORS;
    }
}
