package org.snipeslip.standin.bench;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.snipeslip.standin.BackendServerStandIn;
import org.snipeslip.standin.Behaviour;
import org.snipeslip.standin.EmbeddedDeployment;

/** Carries out the fault of a scenario on its own thread; the seed fixes its schedule. */
final class FaultInjector implements AutoCloseable {
    private static final double MEAN_QUIET_MILLIS = 1_500;
    private static final int MIN_SLOW_MILLIS = 5;
    private static final int MAX_SLOW_MILLIS = 500;
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
            throw new IllegalStateException("the fault could not be injected", e);
        }
    }

    private void inject() throws InterruptedException, IOException {
        List<BackendServerStandIn> servers = deployment.backendServers();
        switch (fault) {
            case NONE -> {
                // Nothing to do.
            }
            case NOISY_NEIGHBOURS -> slowDownInTurn(servers);
            case STRAGGLER ->
                    servers.getFirst().behave(Behaviour.NORMAL.withSlowFactor(STRAGGLER_FACTOR));
            case FAIL_FAST -> servers.getFirst().behave(Behaviour.NORMAL.withFailFast(true));
            case COLD_WAVE -> {
                pauseSeconds(seconds / 4);
                for (int i = 0; i < servers.size() / 3; i++) {
                    servers.get(i).behave(Behaviour.NORMAL.withColdCalls(COLD_CALLS));
                }
            }
            case FAILURE_DOMAIN_MOVE -> moveFailureDomain(servers);
            default -> throw new IllegalStateException(fault.name());
        }
    }

    private void slowDownInTurn(List<BackendServerStandIn> servers) throws InterruptedException {
        double meanGapMillis = MEAN_QUIET_MILLIS / servers.size();
        while (!Thread.interrupted()) {
            pauseMillis(-Math.log(1 - random.nextDouble()) * meanGapMillis);
            BackendServerStandIn server = servers.get(random.nextInt(servers.size()));
            double factor = random.nextDouble(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR);
            int slowMillis = random.nextInt(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS);
            if (server.behaviour().slowFactor() == 1) {
                server.behave(Behaviour.NORMAL.withSlowFactor(factor));
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
        server.behave(Behaviour.NORMAL);
    }

    private void moveFailureDomain(List<BackendServerStandIn> servers)
            throws InterruptedException, IOException {
        pauseSeconds(seconds / 4);
        deployment.takeOut(List.of(0));
        pauseSeconds(seconds / 3);
        for (int i = 0; i < servers.size(); i += FAILURE_DOMAINS) {
            servers.get(i).behave(Behaviour.NORMAL.withColdCalls(COLD_CALLS));
        }
        deployment.takeOut(List.of());
    }

    private static void pauseSeconds(double length) throws InterruptedException {
        pauseMillis(length * 1_000);
    }

    private static void pauseMillis(double length) throws InterruptedException {
        Thread.sleep((long) length, (int) (length % 1 * NANOS_PER_MILLI));
    }

    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        thread.join();
    }
}
