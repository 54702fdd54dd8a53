package org.snipeslip.standin.bench;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.snipeslip.standin.BackendServerStandIn;
import org.snipeslip.standin.Behaviour;
import org.snipeslip.standin.EmbeddedDeployment;

/** Injects the fault of a scenario from its own thread; the schedule is determined by the seed. */
final class FaultInjector implements AutoCloseable {
    private static final double MEAN_SLOWDOWN_INTERVAL_MILLIS = 1_500;
    private static final int MIN_SLOWDOWN_MILLIS = 5;
    private static final int MAX_SLOWDOWN_MILLIS = 500;
    private static final double MIN_SLOW_FACTOR = 5;
    private static final double MAX_SLOW_FACTOR = 20;
    private static final double STRAGGLER_FACTOR = 10;
    private static final int COLD_CALLS = 50;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int FAILURE_DOMAINS = 6;

    private final EmbeddedDeployment deployment;
    private final Scenario.Fault fault;
    private final double seconds;
    private final SplittableRandom random;
    private final Thread thread;

    FaultInjector(EmbeddedDeployment deployment, Scenario.Fault fault, double seconds, long seed) {
        this.deployment = deployment;
        this.fault = fault;
        this.seconds = seconds;
        this.random = new SplittableRandom(seed);
        this.thread = Thread.ofPlatform().name("fault-injector").start(this::run);
    }

    private void run() {
        try {
            inject();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException("fault " + fault + " could not be injected", e);
        }
    }

    private void inject() throws InterruptedException, IOException {
        List<BackendServerStandIn> servers = deployment.backendServers();
        switch (fault) {
            case NONE -> {
                // No fault to inject.
            }
            case NOISY_NEIGHBOURS -> slowDownRandomServers(servers);
            case STRAGGLER ->
                    servers.getFirst()
                            .setBehaviour(Behaviour.NORMAL.withSlowFactor(STRAGGLER_FACTOR));
            case FAIL_FAST -> servers.getFirst().setBehaviour(Behaviour.NORMAL.withFailFast(true));
            case COLD_WAVE -> {
                sleepSeconds(seconds / 4);
                for (int i = 0; i < servers.size() / 3; i++) {
                    servers.get(i).setBehaviour(Behaviour.NORMAL.withColdCalls(COLD_CALLS));
                }
            }
            case FAILURE_DOMAIN_MOVE -> moveFailureDomain(servers);
            default -> throw new IllegalStateException(fault.name());
        }
    }

    private void slowDownRandomServers(List<BackendServerStandIn> servers)
            throws InterruptedException {
        double meanGapMillis = MEAN_SLOWDOWN_INTERVAL_MILLIS / servers.size();
        while (!Thread.interrupted()) {
            sleepMillis(-Math.log(1 - random.nextDouble()) * meanGapMillis);
            BackendServerStandIn server = servers.get(random.nextInt(servers.size()));
            double factor = random.nextDouble(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR);
            int slowMillis = random.nextInt(MIN_SLOWDOWN_MILLIS, MAX_SLOWDOWN_MILLIS);
            if (server.behaviour().slowFactor() == 1) {
                server.setBehaviour(Behaviour.NORMAL.withSlowFactor(factor));
                Thread.ofVirtual().start(() -> restoreAfter(server, slowMillis));
            }
        }
    }

    private static void restoreAfter(BackendServerStandIn server, int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.setBehaviour(Behaviour.NORMAL);
    }

    private void moveFailureDomain(List<BackendServerStandIn> servers)
            throws InterruptedException, IOException {
        sleepSeconds(seconds / 4);
        deployment.publishOutOfService(List.of(0));
        sleepSeconds(seconds / 3);
        for (int i = 0; i < servers.size(); i += FAILURE_DOMAINS) {
            servers.get(i).setBehaviour(Behaviour.NORMAL.withColdCalls(COLD_CALLS));
        }
        deployment.publishOutOfService(List.of());
    }

    private static void sleepSeconds(double length) throws InterruptedException {
        sleepMillis(length * 1_000);
    }

    private static void sleepMillis(double length) throws InterruptedException {
        Thread.sleep((long) length, (int) (length % 1 * NANOS_PER_MILLI));
    }

    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        thread.join();
    }
}
