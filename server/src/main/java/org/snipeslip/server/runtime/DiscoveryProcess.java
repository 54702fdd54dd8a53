package org.snipeslip.server.runtime;

import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.discovery.CallerLimits;
import org.snipeslip.core.discovery.DiscoveredConfig;
import org.snipeslip.core.discovery.DiscoveryKind;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.discovery.StoreRevision;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.PeerAnswer;
import org.snipeslip.server.http.CallHandler;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.log.RecentDecisions;
import org.snipeslip.server.operator.OperatorHandler;
import org.xnio.XnioWorker;

/**
 * An entry instance that discovers its configuration and its backend servers in a {@link
 * DiscoveryStore} and has no peers.
 */
public final class DiscoveryProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryProcess.class);
    private static final int IO_THREADS = 1;

    /** Holds a message head and most bodies; larger bodies are forwarded in chunks. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** The platform and operators need a few. */
    private static final int MAX_READINESS_CONNECTIONS = 32;

    private static final int POOLED_BUFFERS = 200;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_CLEANUP_PERIOD_MILLIS = 5_000;
    private static final long CLOCK_CHECK_PERIOD_MILLIS = 1_000;

    /** More than the field that an instance adds to a call that it passes on. */
    private static final int HANDOVER_HEADER_BYTES = 1_280;

    /** Time for the last responses to reach their callers on close. */
    private static final long OPEN_CALLS_TIMEOUT_MILLIS = 300;

    private final DiscoverySettings settings;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final CallProxy proxy;
    private final RecentDecisions recentDecisions = new RecentDecisions();
    private final DecisionLog decisionLog;
    private final DiscoveryInstance instance;
    private final StateMachineDriver driver;
    private final CallerListener callerListener;
    private final CallerListener readinessListener;

    /** Null if the settings open no port for other instances. */
    private final PeerFeed peerFeed;

    private final InstanceLinks instanceLinks;
    private final HttpHandler passedCallHandler;
    private final Undertow peerServer;

    /** Null if the settings turn the warm-up off. */
    private final JvmWarmup jvmWarmup;

    /** The last logged source of changes: another instance, or the store. */
    private boolean followedPeer;

    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Starts an instance and opens its ports.
     *
     * @param settings settings of the process
     * @param storeFactory creates the store from the HTTP client of the process
     * @param seed seed of the random number generator of the instance
     * @throws IOException if the I/O worker cannot be created or the caller address cannot be bound
     */
    public DiscoveryProcess(
            DiscoverySettings settings,
            Function<SimpleHttpClient, DiscoveryStore> storeFactory,
            long seed)
            throws IOException {
        this.settings = settings;
        worker = IoWorkers.create(IO_THREADS);
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        proxy =
                new CallProxy(
                        worker,
                        buffers,
                        settings.dialect(),
                        settings.instancesSharingConnections());
        decisionLog = new DecisionLog(settings.decisionLog());
        instance =
                new DiscoveryInstance(
                        settings.discovery(),
                        settings.call(),
                        settings.region(),
                        settings.failureDomain(),
                        settings.stop(),
                        settings.access(),
                        settings.quota(),
                        seed);
        peerFeed =
                settings.peerFeed() == null
                        ? null
                        : new PeerFeed(this::answerPeer, settings.peerFeed().encoder());
        SimpleHttpClient client = new SimpleHttpClient(worker.getIoThread(), buffers);
        driver =
                proxy.createDriver(
                        new ObservedStateMachine(instance, this::eventHandled),
                        StoreClient.of(new OutageLoggingStore(storeFactory.apply(client))),
                        this::record,
                        (address, message) -> {
                            throw new IllegalStateException("no peers; message for " + address);
                        },
                        this::stopAccepting,
                        this::finishStop);
        instanceLinks =
                new InstanceLinks(client, instance, driver, this::acceptsPassedCalls, peerFeed);
        passedCallHandler =
                proxy.createInstanceHandler(
                        driver,
                        this::passedCallLimits,
                        settings.discovery().instance().value() + "-passed");
        registerGauges();
        jvmWarmup = settings.warmsUpJvm() ? new JvmWarmup(settings, worker, buffers) : null;
        readinessListener = listenForReadiness();
        peerServer =
                peerFeed == null
                        ? null
                        : startServer(settings.peerFeed().address(), this::handleInstance);
        callerListener =
                proxy.listen(
                        settings.callerAddress(),
                        settings.limits(),
                        endWarmupOnFirstCall(
                                proxy.createHandler(
                                        driver,
                                        this::currentLimits,
                                        settings.discovery().instance().value())));
        schedulePeriodicWork();
        logStarted();
        driver.handle(new Event.Started());
        if (jvmWarmup != null) {
            jvmWarmup.start();
        }
    }

    /** Begins the planned stop; a second call completes it immediately. */
    public void requestStop() {
        LOG.atInfo()
                .addKeyValue("openCalls", proxy.metrics().openCalls())
                .log("planned stop requested");
        proxy.callerConnections().startDraining();
        driver.handle(new Event.StopRequested());
    }

    /**
     * Waits for the planned stop to complete, up to a timeout.
     *
     * @param timeoutMillis longest wait in milliseconds
     * @return false if the timeout elapsed before the stop was complete
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public boolean awaitStop(long timeoutMillis) throws InterruptedException {
        return stopped.await(timeoutMillis, TimeUnit.MILLISECONDS);
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
        if (jvmWarmup != null) {
            jvmWarmup.close();
        }
        callerListener.close();
        proxy.callerConnections().closeIdle();
        proxy.callerConnections().awaitOpenCalls(OPEN_CALLS_TIMEOUT_MILLIS);
        proxy.callerConnections().closeAll();
        readinessListener.close();
        if (peerServer != null) {
            peerServer.stop();
        }
        driver.close();
        proxy.close();
        IoWorkers.stop(worker);
        buffers.close();
        decisionLog.close();
    }

    private List<Action> eventHandled(Event event, List<Action> actions) {
        if (peerFeed != null && actions.stream().anyMatch(Action.ConfigAdopted.class::isInstance)) {
            peerFeed.configAdopted();
        }
        if (event instanceof Event.DiscoveryResponded) {
            logSource();
        }
        return actions;
    }

    private void schedulePeriodicWork() {
        proxy.scheduleIdleCleanup(IDLE_CLEANUP_PERIOD_MILLIS, MAX_IDLE_NANOS);
        proxy.scheduleClockCheck(CLOCK_CHECK_PERIOD_MILLIS, driver);
    }

    private DiscoveryResponse answerPeer(
            Map<DiscoveryKind, StoreRevision> revisions, boolean indirect) {
        driver.checkClocks();
        PeerAnswer answer = instance.answerPeer(revisions, indirect, System.nanoTime());
        driver.execute(answer.actions());
        return answer.response();
    }

    /** Logs when the instance begins to hear changes from another one, or returns to the store. */
    private synchronized void logSource() {
        boolean follows = instance.followsPeer();
        if (follows != followedPeer) {
            followedPeer = follows;
            LOG.atInfo()
                    .addKeyValue("source", follows ? "instance" : "store")
                    .log("source of changes");
        }
    }

    private CallerListener listenForReadiness() throws IOException {
        return proxy.listenForPlatform(
                settings.readinessAddress(),
                settings.limits(),
                MAX_READINESS_CONNECTIONS,
                readinessHandler());
    }

    private Undertow startServer(InetSocketAddress address, HttpHandler handler) {
        Undertow server =
                Undertow.builder()
                        .setWorker(worker)
                        .setByteBufferPool(buffers)
                        .setHandler(handler)
                        .addHttpListener(address.getPort(), address.getHostString())
                        .build();
        server.start();
        return server;
    }

    /** Handles a request of another instance. */
    private void handleInstance(HttpServerExchange exchange) throws Exception {
        boolean passed = exchange.getRequestHeaders().contains(CallHandler.HANDOVER);
        (passed ? passedCallHandler : instanceLinks).handleRequest(exchange);
    }

    private boolean acceptsPassedCalls(long version) {
        return isReady() && instance.acceptsPassedCalls(version);
    }

    /** The other instance has checked the caller's fields, and has added one of its own. */
    private CallLimits passedCallLimits() {
        CallLimits limits = currentLimits();
        return new CallLimits(
                limits.maxHeaderBytes() + HANDOVER_HEADER_BYTES,
                limits.maxUriBytes(),
                limits.maxBodyBytes(),
                limits.maxReplayableBodyBytes(),
                limits.maxReplayableBodiesTotalBytes());
    }

    private HttpHandler endWarmupOnFirstCall(HttpHandler next) {
        return jvmWarmup == null
                ? next
                : exchange -> {
                    jvmWarmup.close();
                    next.handleRequest(exchange);
                };
    }

    private boolean isReady() {
        return instance.isReady() && (jvmWarmup == null || jvmWarmup.isDone());
    }

    private void record(DecisionRecord decision) {
        recentDecisions.add(decision);
        decisionLog.add(decision);
    }

    private void logStarted() {
        LOG.atInfo()
                .addKeyValue("instance", settings.discovery().instance())
                .addKeyValue("failureDomain", settings.failureDomain())
                .addKeyValue("region", settings.region())
                .addKeyValue("callers", settings.callerAddress())
                .log("started");
    }

    private void stopAccepting() {
        callerListener.close();
        proxy.callerConnections().closeIdle();
    }

    private void finishStop(Action.FinishStop action) {
        LOG.atInfo().addKeyValue("openCalls", action.openCalls()).log("planned stop done");
        stopped.countDown();
    }

    private CallLimits currentLimits() {
        DiscoveredConfig config = instance.discoveredConfig();
        if (config == null) {
            return settings.limits();
        }
        CallerLimits callerLimits = config.callerLimits();
        return new CallLimits(
                callerLimits.maxHeaderBytes(),
                settings.limits().maxUriBytes(),
                callerLimits.maxBodyBytes(),
                settings.limits().maxReplayableBodyBytes(),
                settings.limits().maxReplayableBodiesTotalBytes());
    }

    private HttpHandler readinessHandler() {
        HttpHandler operatorHandler =
                new OperatorHandler(
                        instance::configInForce,
                        this::isReady,
                        proxy.metrics(),
                        recentDecisions,
                        proxy.backendConnectionPool()::openConnections,
                        () -> instance.followsPeer() ? "follows a peer\n" : "follows the store\n");
        return exchange -> {
            if (exchange.getRequestPath().equals(settings.readinessPath())) {
                answerReadiness(exchange);
            } else {
                operatorHandler.handleRequest(exchange);
            }
        };
    }

    private void answerReadiness(HttpServerExchange exchange) {
        exchange.setStatusCode(isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private void registerGauges() {
        proxy.registerGauges(instance::configInForce, decisionLog);
        DiscoveryGauges.register(instance, settings.quota() != null, proxy.metrics());
    }
}
