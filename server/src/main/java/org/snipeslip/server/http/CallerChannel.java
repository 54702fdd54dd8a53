package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * What one open connection of a caller costs the process. Changed on the I/O thread of the
 * connection, read by any.
 */
final class CallerChannel {
    /** A caller that transfers less than 8 KiB a second makes no progress. */
    private static final long NANOS_PER_BYTE = 1_000_000_000L / 8_192;

    /** Null for a connection that has no bounds. */
    private final StreamConnection connection;

    private final ConnectionBudget budget;
    private volatile long headBytes;
    private volatile long headStartNanos;
    private volatile boolean readingHead;
    private boolean forgotten;
    private volatile long lastReadNanos = System.nanoTime();
    private volatile boolean hasRequest;
    private volatile boolean holdsServer;

    /** Time when the wait for the caller began; 0 if the call does not wait for it. */
    private volatile long waitStartNanos;

    private volatile long waitedNanos;

    CallerChannel(StreamConnection connection, ConnectionBudget budget) {
        this.connection = connection;
        this.budget = budget;
    }

    /** Returns the connection of a request; one without bounds if another instance passed it. */
    static CallerChannel of(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                        && connection.getOriginalSourceConduit() instanceof LineFoldingDetector head
                ? head.channel()
                : new CallerChannel(null, ConnectionBudget.UNBOUNDED);
    }

    ConnectionBudget budget() {
        return budget;
    }

    long headBytes() {
        return headBytes;
    }

    long lastReadNanos() {
        return lastReadNanos;
    }

    boolean hasRequest() {
        return hasRequest;
    }

    /** Returns whether a head has not come to its end in time, or none has begun. */
    boolean isOverdue(long nowNanos, long maxHeadNanos, long maxIdleNanos) {
        if (hasRequest) {
            return false;
        }
        return readingHead
                ? nowNanos - headStartNanos > maxHeadNanos
                : nowNanos - lastReadNanos > maxIdleNanos;
    }

    /** Called with bytes of a head. */
    void headRead(long bytes) {
        synchronized (this) {
            if (forgotten) {
                return;
            }
            if (!readingHead) {
                readingHead = true;
                headStartNanos = System.nanoTime();
            }
            headBytes += bytes;
            budget.headCharged(bytes);
        }
    }

    /** Called when the first bytes of another head are read. */
    synchronized void headStarted() {
        budget.headCharged(-headBytes);
        headBytes = 0;
    }

    /** The connection is closed, or about to be; returns what its head still occupies. */
    synchronized long forget() {
        forgotten = true;
        releaseServer();
        long bytes = headBytes;
        headBytes = 0;
        return bytes;
    }

    void headEnded() {
        readingHead = false;
        hasRequest = true;
    }

    void requestEnded() {
        hasRequest = false;
        lastReadNanos = System.nanoTime();
        releaseServer();
    }

    void bytesRead() {
        lastReadNanos = System.nanoTime();
    }

    /** The call occupies a backend server from now on. */
    void holdServer() {
        holdsServer = true;
        budget.heldServer(this);
    }

    void releaseServer() {
        holdsServer = false;
        waitStartNanos = 0;
        waitedNanos = 0;
        budget.releasedServer(this);
    }

    /** The call cannot go on before the caller sends or reads more. */
    void waitForCaller() {
        if (waitStartNanos == 0) {
            waitStartNanos = System.nanoTime();
        }
    }

    /** The caller has sent or read a part of a body. */
    void progressed(long bytes) {
        if (waitStartNanos != 0) {
            long nanos = System.nanoTime() - waitStartNanos - bytes * NANOS_PER_BYTE;
            waitedNanos = Math.max(0, waitedNanos + nanos);
            waitStartNanos = 0;
        }
    }

    /** Returns for how long a backend server has been held up by the caller. */
    long stalledNanos(long nowNanos) {
        long start = waitStartNanos;
        return holdsServer && start != 0 ? waitedNanos + nowNanos - start : 0;
    }

    boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    /**
     * Closes the connection on its I/O thread; its call ends as if the caller had left.
     *
     * @param released called when the selector has let go of the connection and its memory
     */
    void close(Runnable released) {
        if (connection != null) {
            connection
                    .getIoThread()
                    .execute(
                            () -> {
                                IoUtils.safeClose(connection);
                                connection
                                        .getIoThread()
                                        .executeAfter(released, 1, TimeUnit.MILLISECONDS);
                            });
        }
    }
}
