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
    private static final long READY_WAIT_MILLIS = 20;

    /** Decision lines of many instances in one process would hide the report. */
    private static final CallHandlingSettings QUIET =
            new CallHandlingSettings(
                    CallLimits.DEFAULT,
                    CallHandlingSettings.DEFAULT.configuredInstances(),
                    new DecisionLogSettings(0, 1));

    private final DeploymentSpec spec;
    private final int basePort;
    private final WorkLedger ledger = new WorkLedger();
    private final ObjectApiStandIn store;
    private final List<BackendServerStandIn> backendServers = new ArrayList<>();
    private final List<EntryProcess> entries = new ArrayList<>();
    private final XnioWorker backendWorker;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final DeploymentObjects objects;
    private final DemoPublisher publisher;

    /**
     * Starts everything and waits until every instance has the configuration in force.
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
        this.objects = new DeploymentObjects(spec, HOST, basePort + PORTS_PER_ROLE);
        backendWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 2)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        store = new ObjectApiStandIn(HOST, basePort);
        for (int i = 0; i < spec.backendServers(); i++) {
            backendServers.add(backendServer(i));
        }
        publisher = new DemoPublisher(origin(basePort));
        publisher.publish(objects.json(List.of()));
        for (int i = 0; i < spec.instances(); i++) {
            entries.add(new EntryProcess(settings(i), QUIET));
        }
        awaitReady();
    }

    /**
     * Returns the caller ports of all instances.
     *
     * @return their origins
     */
    public List<URI> entryOrigins() {
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
    public ObjectApiStandIn store() {
        return store;
    }

    /**
     * Returns the counts of keyed work.
     *
     * @return the ledger of all backend servers
     */
    public WorkLedger ledger() {
        return ledger;
    }

    /**
     * Publishes a configuration in which some failure domains are out of service.
     *
     * @param outOfService numbers of the failure domains
     * @throws IOException if the object API does not accept it
     * @throws InterruptedException if the thread is interrupted
     */
    public void takeOut(List<Integer> outOfService) throws IOException, InterruptedException {
        publisher.publish(objects.json(outOfService));
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
                ledger);
    }

    private ProcessSettings settings(int index) {
        List<PeerAddress> seeds = List.of(new PeerAddress(HOST, peerPort(0)));
        InstanceSettings instance =
                new InstanceSettings(
                        new InstanceId("entry-" + index),
                        new FailureDomainId("fd-" + index % spec.failureDomains()),
                        new RegionId(DeploymentRegions.region(index % spec.failureDomains())),
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
        while (!entries.stream().allMatch(EntryProcess::isReady)) {
            Thread.sleep(READY_WAIT_MILLIS);
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
        entries.forEach(EntryProcess::close);
        backendServers.forEach(BackendServerStandIn::close);
        publisher.close();
        store.close();
        timers.shutdownNow();
        backendWorker.shutdownNow();
    }
}
