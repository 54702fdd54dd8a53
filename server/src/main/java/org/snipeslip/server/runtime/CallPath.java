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
import org.snipeslip.server.http.BackendConnections;
import org.snipeslip.server.http.CallHandler;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.CallerConnections;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.http.ProbeSender;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.operator.ServerMetrics;
import org.xnio.XnioWorker;

/**
 * What lies between callers and backend servers in every process: connections of both sides, timers
 * and metrics, around one state machine. The worker and the buffers belong to the process.
 */
final class CallPath implements AutoCloseable {
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final HttpDialect dialect;
    private final BackendConnections connections;
    private final CallerConnections callers = new CallerConnections();
    private final ServerMetrics metrics = new ServerMetrics();
    private final Timers timers = new Timers();

    /**
     * Creates a path without connections.
     *
     * @param worker runs all I/O
     * @param buffers buffers of connections
     * @param dialect header fields of calls
     * @param connectionSharers instances that share the connections of a backend server
     */
    CallPath(
            XnioWorker worker, ByteBufferPool buffers, HttpDialect dialect, int connectionSharers) {
        this.worker = worker;
        this.buffers = buffers;
        this.dialect = dialect;
        this.connections = new BackendConnections(buffers, connectionSharers);
    }

    BackendConnections connections() {
        return connections;
    }

    CallerConnections callers() {
        return callers;
    }

    ServerMetrics metrics() {
        return metrics;
    }

    /** Connects a state machine with its store, its peers and the backend servers. */
    InstanceRuntime runtime(
            StateMachine machine,
            StoreCalls stores,
            Consumer<DecisionRecord> decisions,
            BiConsumer<PeerAddress, PeerMessage> peers,
            Runnable onStopTaking,
            Consumer<Action.FinishStop> onFinishStop) {
        return new InstanceRuntime(
                machine,
                stores,
                events ->
                        new ProbeSender(
                                connections, worker.getIoThread(), buffers, dialect, events),
                timers,
                metrics,
                decisions,
                peers,
                onStopTaking,
                onFinishStop);
    }

    /**
     * Creates the handler of calls.
     *
     * @param limits bounds on requests, read for each request
     * @param requestIdPrefix makes request ids unique across instances and restarts
     */
    CallHandler handler(
            InstanceRuntime runtime, Supplier<CallLimits> limits, String requestIdPrefix) {
        return new CallHandler(
                runtime, connections, callers, metrics, limits, dialect, requestIdPrefix);
    }

    /**
     * Opens a port with the worker and the buffers of the process.
     *
     * @throws IOException if the address cannot be used
     */
    CallerListener listen(InetSocketAddress address, CallLimits limits, HttpHandler handler)
            throws IOException {
        return new CallerListener(address, worker, buffers, limits, handler);
    }

    /** Closes connections to backend servers that were idle for a while, again and again. */
    void closeIdleEvery(long periodMillis, long idleNanos) {
        timers.every(periodMillis, () -> connections.closeIdle(idleNanos));
    }

    void registerGauges(Supplier<ConfigSet> inForce, DecisionLog decisionLog) {
        metrics.gauge("generation", () -> inForce.get().generation().number());
        metrics.gauge("backend_connections", connections::openConnections);
        metrics.gauge("caller_connections", callers::count);
        metrics.gauge("log_lines_dropped_total", decisionLog::droppedLines);
    }

    /** Ends the timers and closes the connections to backend servers; callers end before. */
    @Override
    public void close() {
        timers.close();
        connections.close();
    }
}
