package org.snipeslip.server.runtime;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.StateMachine;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.server.http.BackendConnectionPool;
import org.snipeslip.server.http.CallHandler;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.CallerConnections;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.ConnectionBudget;
import org.snipeslip.server.http.ConnectionLimits;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.http.ProbeSender;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.operator.InstanceMetrics;
import org.xnio.XnioWorker;

/**
 * The parts of an instance that forward calls, used by every kind of process: the connections to
 * callers and backend servers, the timers and the metrics of one state machine. The I/O worker and
 * the buffer pool belong to the process and are not closed here.
 */
final class CallProxy implements AutoCloseable {
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final HttpDialect dialect;
    private final BackendConnectionPool backendConnectionPool;
    private final CallerConnections callerConnections = new CallerConnections();
    private final InstanceMetrics metrics = new InstanceMetrics();
    private final ConnectionBudget connectionBudget =
            new ConnectionBudget(ConnectionLimits.ofProcess(), metrics);
    private final Timers timers = new Timers();

    /**
     * Creates a proxy without open connections.
     *
     * @param worker runs all I/O
     * @param buffers buffers for connections to callers and backend servers
     * @param dialect names and meaning of the header fields of calls
     * @param instancesSharingConnections number of instances among which the connection limit of
     *     each backend server is divided
     */
    CallProxy(
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpDialect dialect,
            int instancesSharingConnections) {
        this.worker = worker;
        this.buffers = buffers;
        this.dialect = dialect;
        this.backendConnectionPool =
                new BackendConnectionPool(buffers, instancesSharingConnections);
    }

    BackendConnectionPool backendConnectionPool() {
        return backendConnectionPool;
    }

    CallerConnections callerConnections() {
        return callerConnections;
    }

    InstanceMetrics metrics() {
        return metrics;
    }

    /** Creates the driver that connects a state machine to its store, peers and backend servers. */
    StateMachineDriver createDriver(
            StateMachine stateMachine,
            StoreClient storeClient,
            Consumer<DecisionRecord> decisionConsumer,
            BiConsumer<PeerAddress, PeerMessage> peerSender,
            Runnable onStopAccepting,
            Consumer<Action.FinishStop> onFinishStop) {
        return new StateMachineDriver(
                stateMachine,
                storeClient,
                eventHandler ->
                        new ProbeSender(
                                backendConnectionPool,
                                worker.getIoThread(),
                                buffers,
                                dialect,
                                eventHandler),
                timers,
                metrics,
                decisionConsumer,
                peerSender,
                onStopAccepting,
                onFinishStop);
    }

    /**
     * Creates the HTTP handler for the calls of callers.
     *
     * @param driver receives the events of the calls
     * @param limits limits on request sizes, read for each request
     * @param requestIdPrefix prefix that makes request ids unique across instances and restarts
     */
    CallHandler createHandler(
            StateMachineDriver driver, Supplier<CallLimits> limits, String requestIdPrefix) {
        return createHandler(driver, limits, requestIdPrefix, false);
    }

    /** Creates the HTTP handler for the calls that other instances pass on. */
    CallHandler createInstanceHandler(
            StateMachineDriver driver, Supplier<CallLimits> limits, String requestIdPrefix) {
        return createHandler(driver, limits, requestIdPrefix, true);
    }

    private CallHandler createHandler(
            StateMachineDriver driver,
            Supplier<CallLimits> limits,
            String requestIdPrefix,
            boolean servesInstances) {
        return new CallHandler(
                driver,
                backendConnectionPool,
                callerConnections,
                metrics,
                limits,
                dialect,
                requestIdPrefix,
                servesInstances);
    }

    /**
     * Opens a listener that uses the I/O worker and the buffer pool of the process.
     *
     * @throws IOException if the address cannot be used
     */
    CallerListener listen(InetSocketAddress address, CallLimits limits, HttpHandler handler)
            throws IOException {
        return new CallerListener(address, worker, buffers, limits, connectionBudget, handler);
    }

    /**
     * Opens a listener that the platform calls, with few connections.
     *
     * @throws IOException if the address cannot be used
     */
    CallerListener listenForPlatform(
            InetSocketAddress address, CallLimits limits, int maxConnections, HttpHandler handler)
            throws IOException {
        return new CallerListener(
                address,
                worker,
                buffers,
                limits,
                new ConnectionBudget(ConnectionLimits.ofPlatformPort(maxConnections), metrics),
                handler);
    }

    /** Periodically closes connections to backend servers that have been idle for too long. */
    void scheduleIdleCleanup(long periodMillis, long maxIdleNanos) {
        timers.scheduleRepeating(periodMillis, () -> backendConnectionPool.closeIdle(maxIdleNanos));
    }

    /** Periodically looks for a freeze of the process, also while no call arrives. */
    void scheduleClockCheck(long periodMillis, StateMachineDriver driver) {
        timers.scheduleRepeating(periodMillis, driver::checkClocks);
    }

    void registerGauges(Supplier<ConfigSet> configInForce, DecisionLog decisionLog) {
        metrics.registerGauge("generation", () -> configInForce.get().generation().number());
        metrics.registerGauge("backend_connections", backendConnectionPool::openConnections);
        metrics.registerGauge("caller_connections", callerConnections::count);
        metrics.registerGauge("log_lines_dropped_total", decisionLog::droppedLines);
    }

    /**
     * Stops the timers and closes the connections to backend servers. The connections of callers
     * must be closed before.
     */
    @Override
    public void close() {
        timers.close();
        backendConnectionPool.close();
    }
}
