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
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.log.RecentDecisions;
import org.snipeslip.server.operator.OperatorHandler;
import org.snipeslip.server.settings.ProcessSettings;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * An entry instance that uses the object API and peers: its caller port, its operator port and its
 * state machine.
 */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POOLED_BUFFERS = 1_000;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long IDLE_CLEANUP_PERIOD_MILLIS = 10_000;

    /** Time for the refusals of calls that were open at the stop to reach their callers. */
    private static final long OPEN_CALLS_TIMEOUT_MILLIS = 500;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final CallProxy proxy;
    private final RecentDecisions recentDecisions = new RecentDecisions();
    private final DecisionLog decisionLog;
    private final Instance instance;
    private final StateMachineDriver driver;
    private final CallerListener callerListener;
    private final Undertow operatorServer;
    private final PeerTransport peerTransport = new PeerTransport();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Starts an instance with the {@link CallHandlingSettings} that follow from the process
     * settings.
     *
     * @param settings settings of the process
     * @throws IOException if the I/O worker cannot be created or the caller address cannot be bound
     */
    public EntryProcess(ProcessSettings settings) throws IOException {
        this(settings, CallHandlingSettings.of(settings));
    }

    /**
     * Starts an instance and opens its ports.
     *
     * @param settings settings of the process
     * @param callHandlingSettings settings of the connections and the decision log
     * @throws IOException if the I/O worker cannot be created or the caller address cannot be bound
     */
    public EntryProcess(ProcessSettings settings, CallHandlingSettings callHandlingSettings)
            throws IOException {
        worker = IoWorkers.create(settings.ioThreads());
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        proxy =
                new CallProxy(
                        worker,
                        buffers,
                        HttpDialect.SNIPESLIP,
                        callHandlingSettings.configuredInstances());
        decisionLog = new DecisionLog(callHandlingSettings.decisionLog());
        instance = new Instance(settings.instance(), new ConfigJson(), settings.seed());
        SimpleHttpClient client = new SimpleHttpClient(worker.getIoThread(), buffers);
        driver =
                proxy.createDriver(
                        instance,
                        StoreClient.of(new ObjectApiClient(client, settings.objectApi())),
                        this::record,
                        peerTransport::send,
                        () -> {},
                        this::finishStop);
        proxy.registerGauges(instance::configInForce, decisionLog);
        String requestIdPrefix =
                settings.instance().id()
                        + "-"
                        + Long.toString(settings.instance().incarnation(), Character.MAX_RADIX);
        callerListener =
                proxy.listen(
                        settings.callerAddress(),
                        callHandlingSettings.limits(),
                        proxy.createHandler(driver, callHandlingSettings::limits, requestIdPrefix));
        operatorServer = serverBuilder(settings.operatorAddress(), operatorHandler()).build();
        operatorServer.start();
        startPeers(settings);
        proxy.scheduleIdleCleanup(IDLE_CLEANUP_PERIOD_MILLIS, MAX_IDLE_NANOS);
        driver.handle(new Event.Started());
    }

    /**
     * Returns whether the instance accepts calls.
     *
     * @return true from the time when a configuration is in force and the members are known until a
     *     stop is requested
     */
    public boolean isReady() {
        return instance.isReady() && !proxy.callerConnections().isDraining();
    }

    /**
     * Begins the planned stop: the instance is no longer ready and accepts no further request on
     * open connections. A second call completes the stop immediately.
     */
    public void requestStop() {
        proxy.callerConnections().startDraining();
        driver.handle(new Event.StopRequested());
    }

    /**
     * Waits until the planned stop is complete.
     *
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() {
        callerListener.close();
        operatorServer.stop();
        proxy.callerConnections().startDraining();
        proxy.callerConnections().awaitOpenCalls(OPEN_CALLS_TIMEOUT_MILLIS);
        proxy.callerConnections().closeAll();
        peerTransport.close();
        driver.close();
        proxy.close();
        IoWorkers.stop(worker);
        buffers.close();
        decisionLog.close();
    }

    private void record(DecisionRecord decision) {
        recentDecisions.add(decision);
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
        peerTransport.start(
                settings.instance().peerAddress(),
                settings.instance().id(),
                new PeerKey(settings.peers().key()),
                (from, message) -> driver.handle(new Event.PeerMessageReceived(from, message)));
    }

    private HttpHandler operatorHandler() {
        return new OperatorHandler(
                instance::configInForce,
                this::isReady,
                proxy.metrics(),
                recentDecisions,
                proxy.backendConnectionPool()::openConnections,
                () -> ControlReport.text(instance, peerTransport));
    }

    private Undertow.Builder serverBuilder(InetSocketAddress address, HttpHandler handler) {
        return Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setHandler(handler)
                .addHttpListener(address.getPort(), address.getHostString())
                .setSocketOption(Options.TCP_NODELAY, true);
    }
}
