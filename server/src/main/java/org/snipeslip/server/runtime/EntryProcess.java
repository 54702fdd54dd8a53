package org.snipeslip.server.runtime;

import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.peer.PeerKey;
import org.snipeslip.peer.PeerTransport;
import org.snipeslip.server.config.ConfigJson;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.log.RecentDecisions;
import org.snipeslip.server.operator.OperatorHandler;
import org.snipeslip.server.settings.ProcessSettings;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** One running entry instance: caller port, operator port and the state machine between. */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POOLED_BUFFERS = 1_000;
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long IDLE_SWEEP_MILLIS = 10_000;

    /** Time for refusals that the stop gave to open calls to reach their callers. */
    private static final long ANSWERS_MILLIS = 500;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final CallPath path;
    private final RecentDecisions recent = new RecentDecisions();
    private final DecisionLog decisionLog;
    private final Instance instance;
    private final InstanceRuntime runtime;
    private final CallerListener callerListener;
    private final Undertow operatorServer;
    private final PeerTransport peers = new PeerTransport();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Starts an instance.
     *
     * @param settings settings of the process
     * @throws IOException if the I/O worker cannot be created
     */
    public EntryProcess(ProcessSettings settings) throws IOException {
        this(settings, ShellSettings.of(settings));
    }

    /**
     * Starts an instance.
     *
     * @param settings settings of the process
     * @param shell settings of the shells
     * @throws IOException if the I/O worker cannot be created
     */
    public EntryProcess(ProcessSettings settings, ShellSettings shell) throws IOException {
        worker = Workers.create(settings.ioThreads());
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        path = new CallPath(worker, buffers, HttpDialect.SNIPESLIP, shell.configuredInstances());
        decisionLog = new DecisionLog(shell.decisionLog());
        instance = new Instance(settings.instance(), new ConfigJson(), settings.seed());
        HttpMessageClient client = new HttpMessageClient(worker.getIoThread(), buffers);
        runtime =
                path.runtime(
                        instance,
                        StoreCalls.of(new ObjectApiClient(client, settings.objectApi())),
                        this::record,
                        peers::send,
                        () -> {},
                        this::finishStop);
        path.registerGauges(instance::configInForce, decisionLog);
        String requestIdPrefix =
                settings.instance().id()
                        + "-"
                        + Long.toString(settings.instance().incarnation(), Character.MAX_RADIX);
        callerListener =
                path.listen(
                        settings.callerAddress(),
                        shell.limits(),
                        path.handler(runtime, shell::limits, requestIdPrefix));
        operatorServer = server(settings.operatorAddress(), operatorHandler()).build();
        operatorServer.start();
        startPeers(settings);
        path.closeIdleEvery(IDLE_SWEEP_MILLIS, IDLE_NANOS);
        runtime.handle(new Event.Started());
    }

    /**
     * Tells whether the instance takes calls.
     *
     * @return true once a configuration is in force and no stop was requested
     */
    public boolean isReady() {
        return instance.isReady() && !path.callers().isLeaving();
    }

    /**
     * Begins the planned stop: not ready, and no further request on open connections. A second
     * request ends the stop at once.
     */
    public void requestStop() {
        path.callers().leave();
        runtime.handle(new Event.StopRequested());
    }

    /**
     * Waits until the planned stop is complete.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() {
        callerListener.close();
        operatorServer.stop();
        path.callers().leave();
        path.callers().awaitAnswers(ANSWERS_MILLIS);
        path.callers().closeAll();
        peers.close();
        runtime.close();
        path.close();
        Workers.stop(worker);
        buffers.close();
        decisionLog.close();
    }

    private void record(DecisionRecord decision) {
        recent.add(decision);
        decisionLog.add(decision);
    }

    private void finishStop(Action.FinishStop action) {
        LOG.info("planned stop done, {} calls open", action.openCalls());
        stopped.countDown();
    }

    private void startPeers(ProcessSettings settings) {
        if (settings.peers().key().isEmpty()) {
            LOG.warn("no peerKey in the settings: this instance has no peers");
            return;
        }
        peers.start(
                settings.instance().peerAddress(),
                settings.instance().id(),
                new PeerKey(settings.peers().key()),
                (from, message) -> runtime.handle(new Event.PeerReceived(from, message)));
    }

    private HttpHandler operatorHandler() {
        return new OperatorHandler(
                instance::configInForce,
                this::isReady,
                path.metrics(),
                recent,
                path.connections()::openConnections,
                () -> ControlReport.text(instance, peers));
    }

    private Undertow.Builder server(InetSocketAddress address, HttpHandler handler) {
        return Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setHandler(handler)
                .addHttpListener(address.getPort(), address.getHostString())
                .setSocketOption(Options.TCP_NODELAY, true);
    }
}
