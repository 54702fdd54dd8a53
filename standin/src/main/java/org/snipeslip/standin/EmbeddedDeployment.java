package org.snipeslip.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.log.DecisionLogSettings;
import org.snipeslip.server.runtime.CallHandlingSettings;
import org.snipeslip.server.runtime.EntryProcess;
import org.snipeslip.server.settings.PeerSettings;
import org.snipeslip.server.settings.ProcessSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Entry instances, an object API and backend servers of one service in one process. */
public final class EmbeddedDeployment implements AutoCloseable {
    /** Path of calls that only read. */
    public static final String READ_PATH = "/marees";

    /** Path of calls that may wait. */
    public static final String BATCH_PATH = "/archive";

    /** Path of calls that must run once. */
    public static final String CHARGE_PATH = "/charges";

    private static final String HOST = "127.0.0.1";
    private static final String PEER_KEY = "embedded-deployment-key-of-32-byte";
    private static final int PORTS_PER_ROLE = 100;
    private static final long READY_POLL_MILLIS = 20;

    /** Without decision lines, which many instances in one process would write into the report. */
    private static final CallHandlingSettings WITHOUT_DECISION_LOG =
            new CallHandlingSettings(
                    CallLimits.DEFAULT,
                    CallHandlingSettings.DEFAULT.configuredInstances(),
                    new DecisionLogSettings(0, 1));

    private final DeploymentSpec spec;
    private final int basePort;
    private final ExecutionCounter executionCounter = new ExecutionCounter();
    private final ObjectApiStandIn objectApi;
    private final List<BackendServerStandIn> backendServers = new ArrayList<>();
    private final List<EntryProcess> instances = new ArrayList<>();
    private final XnioWorker backendWorker;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final DeploymentConfig config;
    private final ConfigPublisher publisher;

    /**
     * Starts all parts and waits until every instance has the configuration in force.
     *
     * @param spec the shape
     * @param basePort first of 400 TCP ports
     * @throws IOException if a port cannot be opened
     * @throws InterruptedException if the thread is interrupted
     */
    public EmbeddedDeployment(DeploymentSpec spec, int basePort)
            throws IOException, InterruptedException {
        this.spec = spec;
        this.basePort = basePort;
        this.config = new DeploymentConfig(spec, HOST, basePort + PORTS_PER_ROLE);
        backendWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 2)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        objectApi = new ObjectApiStandIn(HOST, basePort);
        for (int i = 0; i < spec.backendServers(); i++) {
            backendServers.add(backendServer(i));
        }
        publisher = new ConfigPublisher(origin(basePort));
        publisher.publish(config.objectsAsJson(List.of()));
        for (int i = 0; i < spec.instances(); i++) {
            instances.add(new EntryProcess(settings(i), WITHOUT_DECISION_LOG));
        }
        awaitReady();
    }

    /**
     * Returns the caller ports of all instances.
     *
     * @return their origins
     */
    public List<URI> callerOrigins() {
        return IntStream.range(0, spec.instances()).mapToObj(i -> origin(callerPort(i))).toList();
    }

    /**
     * Returns the ports of all backend servers.
     *
     * @return their origins
     */
    public List<URI> backendOrigins() {
        return IntStream.range(0, spec.backendServers())
                .mapToObj(i -> origin(backendPort(i)))
                .toList();
    }

    /**
     * Returns the backend servers.
     *
     * @return the stand-ins
     */
    public List<BackendServerStandIn> backendServers() {
        return backendServers;
    }

    /**
     * Returns the object API.
     *
     * @return the stand-in
     */
    public ObjectApiStandIn objectApi() {
        return objectApi;
    }

    /**
     * Returns the counter of executions by idempotency key, shared by all backend servers.
     *
     * @return the shared counter
     */
    public ExecutionCounter executionCounter() {
        return executionCounter;
    }

    /**
     * Publishes a configuration in which some failure domains are out of service.
     *
     * @param outOfService numbers of the failure domains
     * @throws IOException if the object API does not accept the configuration
     * @throws InterruptedException if the thread is interrupted
     */
    public void publishOutOfService(List<Integer> outOfService)
            throws IOException, InterruptedException {
        publisher.publish(config.objectsAsJson(outOfService));
    }

    private BackendServerStandIn backendServer(int index) {
        return new BackendServerStandIn(
                new BackendServerSpec(
                        HOST,
                        backendPort(index),
                        spec.slots(),
                        spec.meanServiceMicros(),
                        spec.queueLimit(),
                        index),
                backendWorker,
                timers,
                executionCounter);
    }

    private ProcessSettings settings(int index) {
        List<PeerAddress> seeds = List.of(new PeerAddress(HOST, peerPort(0)));
        InstanceSettings instance =
                new InstanceSettings(
                        new InstanceId("entry-" + index),
                        new FailureDomainId("fd-" + index % spec.failureDomains()),
                        new RegionId(DeploymentRegions.regionOf(index % spec.failureDomains())),
                        new PeerAddress(HOST, peerPort(index)),
                        System.currentTimeMillis(),
                        spec.call().withInstances(spec.instances()),
                        ControlSettings.DEFAULT.withSeeds(seeds),
                        IdempotencySettings.DEFAULT,
                        StopSettings.DEFAULT);
        return new ProcessSettings(
                        instance,
                        InetSocketAddress.createUnresolved(HOST, callerPort(index)),
                        InetSocketAddress.createUnresolved(HOST, operatorPort(index)),
                        origin(basePort),
                        1,
                        index)
                .withPeers(new PeerSettings(PEER_KEY, seeds));
    }

    private void awaitReady() throws InterruptedException {
        while (!instances.stream().allMatch(EntryProcess::isReady)) {
            Thread.sleep(READY_POLL_MILLIS);
        }
    }

    private int backendPort(int index) {
        return basePort + PORTS_PER_ROLE + index;
    }

    private int callerPort(int index) {
        return basePort + 2 * PORTS_PER_ROLE + index;
    }

    private int peerPort(int index) {
        return basePort + 3 * PORTS_PER_ROLE + index;
    }

    private int operatorPort(int index) {
        return basePort + 2 * PORTS_PER_ROLE + PORTS_PER_ROLE / 2 + index;
    }

    private static URI origin(int port) {
        return URI.create("http://" + HOST + ":" + port);
    }

    @Override
    public void close() throws IOException {
        instances.forEach(EntryProcess::close);
        backendServers.forEach(BackendServerStandIn::close);
        publisher.close();
        objectApi.close();
        timers.shutdownNow();
        backendWorker.shutdownNow();
    }
}
