package org.snipeslip.server.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.peer.PeerTransport;
import org.snipeslip.server.config.ConfigJson;
import org.snipeslip.server.http.BackendConnections;
import org.snipeslip.server.http.CallHandler;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.settings.ProcessSettings;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One running entry instance: caller port, operator port and the state machine between. */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POOLED_BUFFERS = 1_000;

    private final XnioWorker worker;
    private final ScheduledExecutorService timers;
    private final ByteBufferPool buffers;
    private final Undertow callerServer;
    private final Undertow operatorServer;
    private final Instance instance;
    private final PeerTransport peers = new PeerTransport();

    /**
     * Starts an instance.
     *
     * @param settings settings of the process
     * @throws java.io.IOException if the I/O worker cannot be created
     */
    public EntryProcess(ProcessSettings settings) throws java.io.IOException {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                                        .set(Options.WORKER_TASK_CORE_THREADS, 2)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 2)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        timers = Executors.newSingleThreadScheduledExecutor();
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        instance = new Instance(settings.instance(), new ConfigJson(), settings.seed());
        ObjectApiClient store =
                new ObjectApiClient(
                        new HttpMessageClient(worker.getIoThread(), buffers), settings.objectApi());
        InstanceRuntime runtime =
                new InstanceRuntime(
                        instance, store, timers, EntryProcess::logDecision, peers::send);
        String requestIdPrefix =
                settings.instance().id()
                        + "-"
                        + Long.toString(settings.instance().incarnation(), Character.MAX_RADIX);
        callerServer =
                server(settings.callerAddress())
                        .setHandler(
                                new CallHandler(
                                        runtime, new BackendConnections(buffers), requestIdPrefix))
                        .build();
        operatorServer =
                server(settings.operatorAddress()).setHandler(this::operatorRequest).build();
        if (settings.peerKey() == null) {
            LOG.warn("no peerKey in the settings: this instance has no peers");
        } else {
            peers.start(
                    settings.instance().peerAddress(),
                    settings.instance().id(),
                    settings.peerKey(),
                    (from, message) -> runtime.handle(new Event.PeerReceived(from, message)));
        }
        callerServer.start();
        operatorServer.start();
        runtime.handle(new Event.Started());
    }

    private Undertow.Builder server(InetSocketAddress address) {
        return Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .addHttpListener(address.getPort(), address.getHostString())
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setSocketOption(Options.TCP_NODELAY, true);
    }

    private void operatorRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/live" -> exchange.getResponseSender().send("live\n");
            case "/ready" -> {
                exchange.setStatusCode(instance.isReady() ? 200 : 503);
                exchange.getResponseSender()
                        .send("generation " + instance.configInForce().generation() + "\n");
            }
            case "/members" ->
                    exchange.getResponseSender().send(ControlReport.text(instance, peers));
            default -> exchange.setStatusCode(404).endExchange();
        }
    }

    private static void logDecision(DecisionRecord decision) {
        LOG.debug("decision {} {} {}", decision.request(), decision.kind(), decision.chosen());
    }

    @Override
    public void close() {
        callerServer.stop();
        operatorServer.stop();
        peers.close();
        timers.shutdownNow();
        worker.shutdownNow();
        buffers.close();
    }
}
