package org.snipeslip.server.http;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.admission.UploadWindow;
import org.xnio.XnioExecutor;

/**
 * A request whose body has not come completely yet. It becomes a call when its body is in memory,
 * or when enough of it has come and the {@link UploadWindow} has room, so that a caller that stops
 * occupies neither a backend server nor a place in the queue. All methods but {@link #start} of the
 * window run on the I/O thread of the exchange.
 */
final class PendingUpload {
    /** A slow upload is treated like a long one after this time. */
    private static final long SLOW_MILLIS = 250;

    /** Limit for callers that state no deadline. */
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final HttpServerExchange exchange;
    private final RequestBody body;
    private final CallerChannel channel;
    private final Listener listener;
    private final long arrivedNanos = System.nanoTime();
    private final Runnable start = this::windowHasRoom;
    private XnioExecutor.Key slowTimer;
    private XnioExecutor.Key deadlineTimer;
    private boolean inWindow;
    private boolean ended;

    PendingUpload(
            HttpServerExchange exchange,
            RequestBody body,
            CallerChannel channel,
            Listener listener) {
        this.exchange = exchange;
        this.body = body;
        this.channel = channel;
        this.listener = listener;
    }

    /**
     * Begins to read the body.
     *
     * @param remainingMillis time until the caller's deadline, or 0 if it states none
     */
    void begin(CallerConnections.Entry caller, long remainingMillis) {
        caller.onClosed(this::callerLeft);
        long waitMillis = remainingMillis > 0 ? remainingMillis : MAX_WAIT_MILLIS;
        deadlineTimer = executeAfter(this::timedOut, waitMillis);
        slowTimer = executeAfter(this::awaitWindow, SLOW_MILLIS);
        body.readAhead(
                new RequestBody.Listener() {
                    @Override
                    public void ready() {
                        if (body.isBuffered()) {
                            become(false);
                        } else {
                            awaitWindow();
                        }
                    }

                    @Override
                    public void failed() {
                        bodyFailed();
                    }

                    @Override
                    public void alreadyStreamed() {
                        throw new IllegalStateException("a pending upload was sent already");
                    }
                });
    }

    private XnioExecutor.Key executeAfter(Runnable task, long millis) {
        return exchange.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    }

    private void awaitWindow() {
        if (!ended && !inWindow) {
            inWindow = true;
            slowTimer.remove();
            if (!channel.budget().uploads().start(start)) {
                channel.budget().callWaits(exchange.getIoThread());
            }
        }
    }

    /** Called on the I/O thread of another connection if the window had no room at first. */
    private void windowHasRoom() {
        if (Thread.currentThread() == exchange.getIoThread()) {
            enter();
        } else {
            exchange.getIoThread().execute(this::enter);
        }
    }

    private void enter() {
        if (ended) {
            channel.budget().uploads().ended(false);
        } else {
            become(true);
        }
    }

    private void become(boolean inUploadWindow) {
        if (end()) {
            if (!inUploadWindow && inWindow) {
                leaveWindow();
            }
            listener.ready(System.nanoTime() - arrivedNanos, inUploadWindow);
        }
    }

    private void timedOut() {
        if (end()) {
            leaveWindow();
            listener.refused(RequestFault.BODY_TIMEOUT);
        }
    }

    private void bodyFailed() {
        if (end()) {
            leaveWindow();
            if (body.fault() == null) {
                body.release();
                Responses.resetConnection(exchange);
            } else {
                listener.refused(body.fault());
            }
        }
        // After the end, the failure reaches the try that sends the body.
    }

    private void callerLeft() {
        if (end()) {
            leaveWindow();
            body.release();
        }
    }

    /** Gives up the place in the line; {@link #enter} gives back one that was granted meanwhile. */
    private void leaveWindow() {
        if (inWindow) {
            channel.budget().uploads().cancel(start);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        slowTimer.remove();
        deadlineTimer.remove();
        return true;
    }

    /** Receives the end of the wait; at most one method is called, and only once. */
    interface Listener {
        /**
         * The request is to become a call.
         *
         * @param waitedNanos time since its head arrived
         * @param inWindow whether it occupies a place in the window of uploads
         */
        void ready(long waitedNanos, boolean inWindow);

        /** The request is to be refused; no byte of it has been sent. */
        void refused(RequestFault fault);
    }
}
