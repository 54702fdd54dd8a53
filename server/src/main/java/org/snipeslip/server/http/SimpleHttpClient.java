package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends small requests whose bodies are held in memory: object API calls and probes. Everything
 * runs on one I/O thread, so the table of idle connections needs no lock.
 */
public final class SimpleHttpClient {
    private static final int DEFAULT_MAX_IDLE_PER_ORIGIN = 8;

    /**
     * Longer than the pauses between watches and between polls. A connection may go silent without
     * notice while nothing is sent on it.
     */
    private static final long DEFAULT_MAX_IDLE_NANOS = 3_000_000_000L;

    /** Four times the largest object or page of the object API; the body is kept in memory. */
    private static final long MAX_RESPONSE_BYTES = 4L << 20;

    /** Time in which an I/O thread that was busy reads what has arrived. */
    private static final long READ_MILLIS = 20;

    /** An answer of which nothing arrives for this time after its time limit is lost. */
    private static final long PROGRESS_MILLIS = 200;

    /** Longest time after the time limit for an answer that still arrives. */
    private static final long MAX_LATE_MILLIS = 2_000;

    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final int maxIdlePerOrigin;
    private final long maxIdleNanos;
    private final Map<URI, Deque<IdleConnection>> idle = new HashMap<>();
    private final Map<ClientConnection, ResponseConduit> conduits = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param ioThread runs all requests and the listeners
     * @param buffers buffer pool of the connections
     */
    public SimpleHttpClient(XnioIoThread ioThread, ByteBufferPool buffers) {
        this(ioThread, buffers, DEFAULT_MAX_IDLE_PER_ORIGIN);
    }

    /**
     * Creates a client.
     *
     * @param ioThread runs all requests and the listeners
     * @param buffers buffer pool of the connections
     * @param maxIdlePerOrigin maximum number of idle connections for each origin
     */
    public SimpleHttpClient(XnioIoThread ioThread, ByteBufferPool buffers, int maxIdlePerOrigin) {
        this(ioThread, buffers, maxIdlePerOrigin, DEFAULT_MAX_IDLE_NANOS);
    }

    /**
     * Creates a client.
     *
     * @param ioThread runs all requests and the listeners
     * @param buffers buffer pool of the connections
     * @param maxIdlePerOrigin maximum number of idle connections for each origin
     * @param maxIdleNanos connections that have been idle for longer are not used again
     */
    SimpleHttpClient(
            XnioIoThread ioThread,
            ByteBufferPool buffers,
            int maxIdlePerOrigin,
            long maxIdleNanos) {
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.maxIdlePerOrigin = maxIdlePerOrigin;
        this.maxIdleNanos = maxIdleNanos;
    }

    /**
     * Sends a request. May be called on any thread; the listener is called once, on the I/O thread.
     *
     * @param request request to send
     * @param timeoutMillis time limit until the complete response, in milliseconds
     * @param listener receives the result
     */
    public void send(SimpleHttpRequest request, long timeoutMillis, SimpleHttpListener listener) {
        ioThread.execute(() -> new Transaction(request, listener).start(timeoutMillis));
    }

    /** One request and its result. */
    private final class Transaction implements SimpleHttpExchange.Listener {
        private final SimpleHttpRequest request;
        private final SimpleHttpListener listener;
        private boolean done;
        private boolean sent;
        private ClientConnection connection;
        private SimpleHttpExchange exchange;
        private XnioExecutor.Key timeout;
        private long startedNanos;
        private long receivedBytes;

        /** Whether nothing had arrived when the time ended, and what has arrived since is read. */
        private boolean checkedAgain;

        Transaction(SimpleHttpRequest request, SimpleHttpListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void start(long timeoutMillis) {
            startedNanos = System.nanoTime();
            timeout =
                    ioThread.executeAfter(
                            () -> timedOut(timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
            ClientConnection pooled = pollIdle(request.origin());
            if (pooled != null) {
                sendOn(pooled);
            } else {
                connect();
            }
        }

        /**
         * Fails unless a part of the answer arrives now. This thread may have been busy, so that
         * the timer runs before what has arrived is read; and a large answer takes longer.
         */
        private void timedOut(long timeoutMillis) {
            long received = exchange == null ? 0 : exchange.receivedBytes();
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            boolean late = elapsedMillis > timeoutMillis + MAX_LATE_MILLIS;
            if (!late && (received > receivedBytes || !checkedAgain)) {
                checkedAgain = received <= receivedBytes;
                receivedBytes = received;
                timeout =
                        ioThread.executeAfter(
                                () -> timedOut(timeoutMillis),
                                checkedAgain ? READ_MILLIS : PROGRESS_MILLIS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            // What has silenced this connection may have silenced the idle ones too.
            closeIdle(request.origin());
            fail(
                    new IOException(
                            "no complete answer within the time limit of "
                                    + timeoutMillis
                                    + " ms"));
        }

        private void connect() {
            LimitingConnector connector = new LimitingConnector(ioThread, MAX_RESPONSE_BYTES);
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<ClientConnection>() {
                                @Override
                                public void completed(ClientConnection acquired) {
                                    conduits.put(acquired, connector.responses());
                                    acquired.addCloseListener(conduits::remove);
                                    sendOn(acquired);
                                }

                                @Override
                                public void failed(IOException e) {
                                    fail(e);
                                }
                            },
                            request.origin(),
                            connector,
                            buffers,
                            OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024));
        }

        private void sendOn(ClientConnection acquired) {
            if (done) {
                IoUtils.safeClose(acquired);
                return;
            }
            connection = acquired;
            ResponseConduit responses = conduits.get(acquired);
            if (responses == null) {
                fail(new ClosedChannelException());
                return;
            }
            sent = true;
            exchange = new SimpleHttpExchange(acquired, responses, buffers, this);
            exchange.send(request);
        }

        @Override
        public void responseReceived(ClientResponse response, String text) {
            if (markDone()) {
                releaseConnection(request.origin(), connection);
                listener.responseReceived(
                        response.getResponseCode(),
                        name -> response.getResponseHeaders().getFirst(name),
                        text);
            }
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }

        private void fail(IOException e) {
            if (markDone()) {
                IoUtils.safeClose(connection);
                listener.failed(sent, e);
            }
        }

        private boolean markDone() {
            if (done) {
                return false;
            }
            done = true;
            timeout.remove();
            return true;
        }
    }

    private ClientConnection pollIdle(URI origin) {
        Deque<IdleConnection> connections = idle.getOrDefault(origin, new ArrayDeque<>());
        long oldestNanos = System.nanoTime() - maxIdleNanos;
        while (!connections.isEmpty()) {
            IdleConnection each = connections.pop();
            if (each.connection.isOpen() && each.sinceNanos - oldestNanos > 0) {
                return each.connection;
            }
            IoUtils.safeClose(each.connection);
        }
        return null;
    }

    private void closeIdle(URI origin) {
        Deque<IdleConnection> connections = idle.remove(origin);
        if (connections != null) {
            connections.forEach(each -> IoUtils.safeClose(each.connection));
        }
    }

    private void releaseConnection(URI origin, ClientConnection connection) {
        Deque<IdleConnection> connections = idle.computeIfAbsent(origin, key -> new ArrayDeque<>());
        ResponseConduit responses = conduits.get(connection);
        if (connection.isOpen()
                && responses != null
                && !responses.holdsBytes()
                && connections.size() < maxIdlePerOrigin) {
            connections.push(new IdleConnection(connection, System.nanoTime()));
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** An idle connection, and since when it is. */
    private record IdleConnection(ClientConnection connection, long sinceNanos) {}
}
