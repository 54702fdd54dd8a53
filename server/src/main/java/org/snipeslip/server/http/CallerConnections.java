package org.snipeslip.server.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
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
 * The open connections of callers. While the instance leaves, each response announces the end of
 * its connection, and connections without a call can be closed.
 */
public final class CallerConnections {
    private static final AttachmentKey<State> STATE = AttachmentKey.create(State.class);

    private static final long CLOSE_MILLIS = 1_000;
    private static final Runnable NOTHING = () -> {};

    private final Set<State> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openCalls = new AtomicInteger();
    private volatile boolean leaving;

    /** Announces the end of the connection on every response from now on. */
    public void leave() {
        leaving = true;
    }

    /**
     * Tells whether the instance leaves.
     *
     * @return true after {@link #leave}
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Counts the connections that brought at least one request.
     *
     * @return open connections
     */
    public int count() {
        return open.size();
    }

    /**
     * Waits until every caller has its whole answer.
     *
     * @param limitMillis time limit in milliseconds
     */
    public synchronized void awaitAnswers(long limitMillis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        long leftNanos;
        try {
            while (openCalls.get() > 0 && (leftNanos = endNanos - System.nanoTime()) > 0) {
                TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callEnded() {
        if (openCalls.decrementAndGet() == 0 && leaving) {
            synchronized (this) {
                notifyAll();
            }
        }
    }

    /** Closes the connections on which no call is open. */
    public void closeIdle() {
        closeIf(state -> !state.busy);
    }

    /** Closes all connections; open calls see their caller leave. */
    public void closeAll() {
        closeIf(state -> true);
    }

    /** Closes connections, each on its own I/O thread, and waits for a bounded time. */
    private void closeIf(Predicate<State> condition) {
        List<State> states = List.copyOf(open);
        CountDownLatch done = new CountDownLatch(states.size());
        for (State state : states) {
            state.connection
                    .getIoThread()
                    .execute(
                            () -> {
                                if (condition.test(state)) {
                                    IoUtils.safeClose(state.connection);
                                }
                                done.countDown();
                            });
        }
        // An I/O thread cannot wait for itself.
        if (!(Thread.currentThread() instanceof XnioIoThread)) {
            await(done);
        }
    }

    private static void await(CountDownLatch done) {
        try {
            done.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Notes that a request arrived; it ends with its exchange.
     *
     * @return the connection, which tells the call when it closes
     */
    State begin(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        State known = connection.getAttachment(STATE);
        State state = known == null ? add(connection) : known;
        state.busy = true;
        openCalls.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    state.busy = false;
                    state.onClosed = NOTHING;
                    expectHead(done);
                    next.proceed();
                    callEnded();
                });
        return state;
    }

    private static void expectHead(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getOriginalSourceConduit() instanceof HeadGuard guard) {
            PooledByteBuffer read = connection.getExtraBytes();
            guard.restart(read == null ? null : read.getBuffer());
        }
    }

    private State add(ServerConnection connection) {
        State state = new State(connection);
        connection.putAttachment(STATE, state);
        open.add(state);
        connection.addCloseListener(
                closed -> {
                    open.remove(state);
                    state.onClosed.run();
                });
        return state;
    }

    /** One connection; its fields are used on its I/O thread only. */
    static final class State {
        private final ServerConnection connection;
        private Runnable onClosed = NOTHING;
        private boolean busy;

        State(ServerConnection connection) {
            this.connection = connection;
        }

        void onClosed(Runnable task) {
            onClosed = task;
        }
    }
}
