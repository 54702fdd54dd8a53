package org.snipeslip.server.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.server.operator.InstanceMetrics;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A caller port on loopback and one fake backend server, connected by a {@link ScriptedEngine}. */
final class HttpFixture implements AutoCloseable {
    static final CallLimits LIMITS = new CallLimits(4_096, 1_024, 1L << 30, 64 * 1024, 1L << 20);

    final FakeBackend backend = new FakeBackend();
    final ScriptedEngine engine;
    final BackendConnectionPool connections;
    final CallerConnections callers = new CallerConnections();
    final AtomicInteger maxBuffersInUse = new AtomicInteger();
    private final XnioWorker worker;
    private final CallerListener listener;

    HttpFixture() throws IOException {
        this(100);
    }

    HttpFixture(int connectionLimit) throws IOException {
        this(connectionLimit, HttpDialect.SNIPESLIP);
    }

    HttpFixture(int connectionLimit, HttpDialect dialect) throws IOException {
        this(connectionLimit, dialect, 2);
    }

    HttpFixture(int connectionLimit, HttpDialect dialect, int ioThreads) throws IOException {
        engine = new ScriptedEngine(backend.server(connectionLimit));
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, ioThreads)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        ByteBufferPool buffers = countingPool(new DefaultByteBufferPool(true, 16 * 1024));
        connections = new BackendConnectionPool(buffers, 1);
        listener =
                new CallerListener(
                        new InetSocketAddress("127.0.0.1", 0),
                        worker,
                        buffers,
                        LIMITS,
                        new ConnectionBudget(ConnectionLimits.ofProcess(), new InstanceMetrics()),
                        new CallHandler(
                                engine,
                                connections,
                                callers,
                                new InstanceMetrics(),
                                () -> LIMITS,
                                dialect,
                                "entry-1",
                                false));
    }

    RawSocket caller() throws IOException {
        return RawSocket.connect(listener.address().getPort());
    }

    /** Returns a dialect in which callers name their calls, and servers say who they are. */
    static HttpDialect namedDialect(Function<String, LoadReport> loadReader) {
        return new HttpDialect(
                new HttpString("Call-Name"),
                new HttpString("Time-Left"),
                new HttpString("Load"),
                new HttpString("Limit"),
                new HttpString("Leaving"),
                new HttpString("Cold-For"),
                new HttpString("Refused"),
                new HttpString("Meant-For"),
                new HttpString("Server-Name"),
                new HttpString("Key"),
                new HttpString("Owner"),
                loadReader,
                true,
                false,
                true,
                1_000,
                false);
    }

    /** Returns this instance as another instance sees it. */
    BackendServer self() {
        return FakeBackend.serverAt(listener.address().getPort(), 100);
    }

    /** Opens a new caller connection and sends a request on it. */
    RawSocket call(String request) throws IOException {
        return caller().write(request);
    }

    static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        callers.closeAll();
        connections.close();
        worker.shutdownNow();
        backend.close();
    }

    /**
     * Wraps a pool to record the maximum number of buffers in use, the memory that streaming needs.
     */
    private ByteBufferPool countingPool(ByteBufferPool pool) {
        AtomicInteger inUse = new AtomicInteger();
        return (ByteBufferPool)
                java.lang.reflect.Proxy.newProxyInstance(
                        ByteBufferPool.class.getClassLoader(),
                        new Class<?>[] {ByteBufferPool.class},
                        (proxy, method, args) -> {
                            Object result = method.invoke(pool, args);
                            if (!(result instanceof PooledByteBuffer pooled)) {
                                return result;
                            }
                            maxBuffersInUse.accumulateAndGet(inUse.incrementAndGet(), Math::max);
                            return new PooledByteBuffer() {
                                @Override
                                public java.nio.ByteBuffer getBuffer() {
                                    return pooled.getBuffer();
                                }

                                @Override
                                public void close() {
                                    if (pooled.isOpen()) {
                                        inUse.decrementAndGet();
                                        pooled.close();
                                    }
                                }

                                @Override
                                public boolean isOpen() {
                                    return pooled.isOpen();
                                }
                            };
                        });
    }
}
