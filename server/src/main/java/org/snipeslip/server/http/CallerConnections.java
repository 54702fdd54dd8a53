package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * The open connections of callers. While the instance shuts down, each response announces that its
 * connection closes, and connections without an open call can be closed.
 */
public final class CallerConnections {
    private static final AttachmentKey<Entry> ENTRY_KEY = AttachmentKey.create(Entry.class);

    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
    private static final Runnable NO_ACTION = () -> {};

    private final Set<Entry> openConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openCalls = new AtomicInteger();
    private volatile boolean draining;

    /** Makes every response from now on announce that its connection closes. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Returns whether connections are being drained because the instance shuts down.
     *
     * @return true after {@link #startDraining}
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Returns the number of open connections on which at least one request arrived.
     *
     * @return open connections, with or without an open call
     */
    public int count() {
        return openConnections.size();
    }

    /**
     * Waits until the responses of all open calls have been sent completely. Call {@link
     * #startDraining} first; without it, the end of the last call does not wake the waiting thread.
     *
     * @param limitMillis maximum time to wait, in milliseconds
     */
    public synchronized void awaitOpenCalls(long limitMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        long remainingNanos;
        try {
            while (openCalls.get() > 0
                    && (remainingNanos = deadlineNanos - System.nanoTime()) > 0) {
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callEnded() {
        if (openCalls.decrementAndGet() == 0 && draining) {
            synchronized (this) {
                notifyAll();
            }
        }
    }

    /** Closes the connections on which no call is open. */
    public void closeIdle() {
        closeMatching(entry -> !entry.hasOpenCall);
    }

    /** Closes all connections; open calls end as if their callers had disconnected. */
    public void closeAll() {
        closeMatching(entry -> true);
    }

    /**
     * Closes the matching connections, each on its own I/O thread, and waits up to {@link
     * #CLOSE_TIMEOUT_MILLIS} for it.
     */
    private void closeMatching(Predicate<Entry> condition) {
        List<Entry> entries = List.copyOf(openConnections);
        CountDownLatch done = new CountDownLatch(entries.size());
        for (Entry entry : entries) {
            entry.connection
                    .getIoThread()
                    .execute(
                            () -> {
                                if (condition.test(entry)) {
                                    IoUtils.safeClose(entry.connection);
                                }
                                done.countDown();
                            });
        }
        // An I/O thread must not wait, because it may have to run one of these tasks itself.
        if (!(Thread.currentThread() instanceof XnioIoThread)) {
            await(done);
        }
    }

    private static void await(CountDownLatch done) {
        try {
            done.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Registers a request, until its exchange completes.
     *
     * @return the connection of the request, which reports its close to the call
     */
    Entry requestStarted(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        Entry known = connection.getAttachment(ENTRY_KEY);
        Entry entry = known == null ? add(connection) : known;
        entry.hasOpenCall = true;
        openCalls.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    entry.hasOpenCall = false;
                    entry.onClosed = NO_ACTION;
                    next.proceed();
                    callEnded();
                });
        return entry;
    }

    private Entry add(ServerConnection connection) {
        Entry entry = new Entry(connection);
        connection.putAttachment(ENTRY_KEY, entry);
        openConnections.add(entry);
        connection.addCloseListener(
                closed -> {
                    openConnections.remove(entry);
                    entry.onClosed.run();
                });
        return entry;
    }

    /** One connection; its fields are accessed only on its I/O thread. */
    static final class Entry {
        private final ServerConnection connection;
        private Runnable onClosed = NO_ACTION;
        private boolean hasOpenCall;

        Entry(ServerConnection connection) {
            this.connection = connection;
        }

        void onClosed(Runnable task) {
            onClosed = task;
        }
    }
}
