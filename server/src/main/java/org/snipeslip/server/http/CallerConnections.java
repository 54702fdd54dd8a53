package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * The open connections of callers. While the instance leaves, each response announces the end of
 * its connection, and connections without a call can be closed.
 */
public final class CallerConnections {
    private static final AttachmentKey<State> STATE = AttachmentKey.create(State.class);

    private static final Runnable NOTHING = () -> {};

    private final Set<State> open = ConcurrentHashMap.newKeySet();
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

    /** Closes the connections on which no call is open, each on its own I/O thread. */
    public void closeIdle() {
        for (State state : open) {
            state.connection
                    .getIoThread()
                    .execute(
                            () -> {
                                if (!state.busy) {
                                    IoUtils.safeClose(state.connection);
                                }
                            });
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
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    state.busy = false;
                    state.onClosed = NOTHING;
                    next.proceed();
                });
        return state;
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
