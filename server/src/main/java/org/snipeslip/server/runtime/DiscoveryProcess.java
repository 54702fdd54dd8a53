package org.snipeslip.server.runtime;

import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.discovery.CallerBounds;
import org.snipeslip.core.discovery.FleetConfig;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.log.DecisionLog;
import org.snipeslip.server.log.RecentDecisions;
import org.snipeslip.server.operator.OperatorHandler;
import org.xnio.XnioWorker;

/** One running entry instance whose configuration and backend servers are discovered. */
public final class DiscoveryProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryProcess.class);
    private static final int IO_THREADS = 1;

    /** Heads and most bodies fit; larger bodies pass through in pieces. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int POOLED_BUFFERS = 200;
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_SWEEP_MILLIS = 5_000;

    /** Time for the last answers to reach their callers. */
    private static final long ANSWERS_MILLIS = 300;

    private final DiscoverySettings settings;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final CallPath path;
    private final RecentDecisions recent = new RecentDecisions();
    private final DecisionLog decisionLog;
    private final DiscoveryInstance instance;
    private final InstanceRuntime runtime;
    private final CallerListener callerListener;
    private final Undertow readinessServer;

    /** Null if there is none. */
    private final Rehearsal rehearsal;

    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Starts an instance.
     *
     * @param settings its settings
     * @param storeFactory gives the store, which shares the client of the process
     * @param seed seed of the random choices
     * @throws IOException if an address cannot be used
     */
    public DiscoveryProcess(
            DiscoverySettings settings,
            Function<HttpMessageClient, FleetStore> storeFactory,
            long seed)
            throws IOException {
        this.settings = settings;
        worker = Workers.create(IO_THREADS);
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        path = new CallPath(worker, buffers, settings.dialect(), settings.connectionSharers());
        decisionLog = new DecisionLog(settings.decisionLog());
        instance =
                new DiscoveryInstance(
                        settings.fleet(),
                        settings.call(),
                        settings.region(),
                        settings.failureDomain(),
                        settings.stop(),
                        seed);
        HttpMessageClient client = new HttpMessageClient(worker.getIoThread(), buffers);
        runtime =
                path.runtime(
                        instance,
                        StoreCalls.of(new ObservedStore(storeFactory.apply(client))),
                        this::record,
                        (address, message) -> {
                            throw new IllegalStateException("a discovered instance has no peers");
                        },
                        this::stopTaking,
                        this::finishStop);
        registerGauges();
        rehearsal = settings.rehearses() ? new Rehearsal(settings, worker, buffers) : null;
        readinessServer =
                Undertow.builder()
                        .setWorker(worker)
                        .setByteBufferPool(buffers)
                        .setHandler(readinessHandler())
                        .addHttpListener(
                                settings.readinessAddress().getPort(),
                                settings.readinessAddress().getHostString())
                        .build();
        readinessServer.start();
        callerListener =
                path.listen(
                        settings.callerAddress(),
                        settings.limits(),
                        endingRehearsal(
                                path.handler(
                                        runtime,
                                        this::limits,
                                        settings.fleet().instance().value())));
        path.closeIdleEvery(IDLE_SWEEP_MILLIS, IDLE_NANOS);
        LOG.atInfo()
                .addKeyValue("instance", settings.fleet().instance())
                .addKeyValue("failureDomain", settings.failureDomain())
                .addKeyValue("region", settings.region())
                .addKeyValue("callers", settings.callerAddress())
                .log("started");
        runtime.handle(new Event.Started());
        if (rehearsal != null) {
            rehearsal.start();
        }
    }

    /** Begins the planned stop. A second request ends it at once. */
    public void requestStop() {
        LOG.atInfo()
                .addKeyValue("openCalls", path.metrics().openCalls())
                .log("planned stop requested");
        path.callers().leave();
        runtime.handle(new Event.StopRequested());
    }

    /**
     * Waits a while for the planned stop to be complete.
     *
     * @param millis longest wait
     * @return true if it is complete
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitStop(long millis) throws InterruptedException {
        return stopped.await(millis, TimeUnit.MILLISECONDS);
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
        if (rehearsal != null) {
            rehearsal.close();
        }
        callerListener.close();
        path.callers().closeIdle();
        path.callers().awaitAnswers(ANSWERS_MILLIS);
        path.callers().closeAll();
        readinessServer.stop();
        runtime.close();
        path.close();
        Workers.stop(worker);
        buffers.close();
        decisionLog.close();
    }

    private HttpHandler endingRehearsal(HttpHandler next) {
        return rehearsal == null
                ? next
                : exchange -> {
                    rehearsal.close();
                    next.handleRequest(exchange);
                };
    }

    private boolean isReady() {
        return instance.isReady() && (rehearsal == null || rehearsal.isDone());
    }

    private void record(DecisionRecord decision) {
        recent.add(decision);
        decisionLog.add(decision);
    }

    private void stopTaking() {
        callerListener.close();
        path.callers().closeIdle();
    }

    private void finishStop(Action.FinishStop action) {
        LOG.atInfo().addKeyValue("openCalls", action.openCalls()).log("planned stop done");
        stopped.countDown();
    }

    private CallLimits limits() {
        FleetConfig config = instance.fleetConfig();
        if (config == null) {
            return settings.limits();
        }
        CallerBounds bounds = config.callerBounds();
        return new CallLimits(
                bounds.maxHeaderBytes(),
                settings.limits().maxUriBytes(),
                bounds.maxBodyBytes(),
                settings.limits().keptBodyBytes(),
                settings.limits().keptBodiesTotalBytes());
    }

    private HttpHandler readinessHandler() {
        HttpHandler operator =
                new OperatorHandler(
                        instance::configInForce,
                        this::isReady,
                        path.metrics(),
                        recent,
                        path.connections()::openConnections,
                        () -> "no peers\n");
        return exchange -> {
            if (exchange.getRequestPath().equals(settings.readinessPath())) {
                answerReadiness(exchange);
            } else {
                operator.handleRequest(exchange);
            }
        };
    }

    private void answerReadiness(HttpServerExchange exchange) {
        exchange.setStatusCode(isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private void registerGauges() {
        path.registerGauges(instance::configInForce, decisionLog);
        path.metrics()
                .gauge(
                        "config_version",
                        () ->
                                instance.fleetConfig() == null
                                        ? 0
                                        : instance.fleetConfig().version());
    }
}
