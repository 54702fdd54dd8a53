package org.snipeslip.server.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Connections to one backend server: the number of open ones, and the idle ones per I/O thread. */
final class BackendServerConnections {
    /** Far above any limit, so that reservations on a retired entry fail. */
    private static final int RETIRED = Integer.MAX_VALUE / 2;

    private final AtomicInteger openCount = new AtomicInteger();
    private final ConcurrentHashMap<XnioIoThread, Deque<IdleConnection>> idleByThread =
            new ConcurrentHashMap<>();

    boolean tryReserve(int limit) {
        if (openCount.incrementAndGet() <= limit) {
            return true;
        }
        openCount.decrementAndGet();
        return false;
    }

    void release() {
        openCount.decrementAndGet();
    }

    int openCount() {
        return isRetired() ? 0 : openCount.get();
    }

    /** Retires this entry if no connection is open; reservations on it then fail. */
    boolean retire() {
        return openCount.compareAndSet(0, RETIRED);
    }

    boolean isRetired() {
        return openCount.get() >= RETIRED / 2;
    }

    void offerIdle(ClientConnection connection, long usableNanos) {
        idleByThread
                .computeIfAbsent(connection.getIoThread(), key -> new ConcurrentLinkedDeque<>())
                .offerFirst(new IdleConnection(connection, System.nanoTime(), usableNanos));
    }

    ClientConnection pollIdle(XnioIoThread ioThread) {
        Deque<IdleConnection> idle = idleByThread.get(ioThread);
        IdleConnection candidate;
        while (idle != null && (candidate = idle.pollFirst()) != null) {
            if (candidate.connection.isOpen()) {
                if (System.nanoTime() - candidate.idleSinceNanos < candidate.reusableNanos) {
                    return candidate.connection;
                }
                closeOnIoThread(candidate.connection);
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

    void closeIdleSinceBefore(long beforeNanos) {
        for (Deque<IdleConnection> idle : idleByThread.values()) {
            IdleConnection oldest;
            while ((oldest = idle.peekLast()) != null && oldest.idleSinceNanos - beforeNanos <= 0) {
                if (idle.removeLastOccurrence(oldest)) {
                    closeOnIoThread(oldest.connection);
                }
            }
        }
    }

    /**
     * Closes a connection immediately. Undertow's own close reads the rest of the response for up
     * to 10 s, during which the backend server keeps working, so this closes the underlying socket.
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

    private static void closeOnIoThread(ClientConnection connection) {
        connection.getIoThread().execute(() -> closeNow(connection));
    }

    /**
     * An idle connection, the time at which it became idle, and how long it may be reused after
     * that.
     */
    private record IdleConnection(
            ClientConnection connection, long idleSinceNanos, long reusableNanos) {}
}
