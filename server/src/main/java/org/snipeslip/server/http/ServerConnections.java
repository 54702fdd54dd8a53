package org.snipeslip.server.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Connections to one backend server: the number open and the idle ones of each I/O thread. */
final class ServerConnections {
    /** Far above any limit, so that a retired entry gives no reservation. */
    private static final int RETIRED = Integer.MAX_VALUE / 2;

    private final AtomicInteger open = new AtomicInteger();
    private final ConcurrentHashMap<XnioIoThread, Deque<Idle>> idleByThread =
            new ConcurrentHashMap<>();

    boolean tryReserve(int limit) {
        if (open.incrementAndGet() <= limit) {
            return true;
        }
        open.decrementAndGet();
        return false;
    }

    void release() {
        open.decrementAndGet();
    }

    int open() {
        return isRetired() ? 0 : open.get();
    }

    /** Ends the use of this entry if no connection is left; it then gives no reservation. */
    boolean retire() {
        return open.compareAndSet(0, RETIRED);
    }

    boolean isRetired() {
        return open.get() >= RETIRED / 2;
    }

    void offerIdle(ClientConnection connection, long usableNanos) {
        idleByThread
                .computeIfAbsent(connection.getIoThread(), key -> new ConcurrentLinkedDeque<>())
                .offerFirst(new Idle(connection, System.nanoTime(), usableNanos));
    }

    ClientConnection pollIdle(XnioIoThread ioThread) {
        Deque<Idle> idle = idleByThread.get(ioThread);
        Idle candidate;
        while (idle != null && (candidate = idle.pollFirst()) != null) {
            if (candidate.connection.isOpen()) {
                if (System.nanoTime() - candidate.sinceNanos < candidate.usableNanos) {
                    return candidate.connection;
                }
                closeOnItsThread(candidate.connection);
            }
        }
        return null;
    }

    ClientConnection pollAnyIdle() {
        for (XnioIoThread ioThread : idleByThread.keySet()) {
            ClientConnection connection = pollIdle(ioThread);
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    void closeIdleSince(long beforeNanos) {
        for (Deque<Idle> idle : idleByThread.values()) {
            Idle oldest;
            while ((oldest = idle.peekLast()) != null && oldest.sinceNanos - beforeNanos <= 0) {
                if (idle.removeLastOccurrence(oldest)) {
                    closeOnItsThread(oldest.connection);
                }
            }
        }
    }

    /**
     * Closes a connection at once. Undertow's own close reads the rest of the response for up to 10
     * s, during which the backend server works on, so this closes the socket below it.
     */
    static void closeNow(ClientConnection connection) {
        if (connection == null) {
            return;
        }
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private static void closeOnItsThread(ClientConnection connection) {
        connection.getIoThread().execute(() -> closeNow(connection));
    }

    /** An idle connection, when it became idle, and how long it may be used from then. */
    private record Idle(ClientConnection connection, long sinceNanos, long usableNanos) {}
}
