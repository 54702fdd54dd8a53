package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.snipeslip.core.config.BackendServer;

/** Generates the events of one run from a seed. */
final class RandomSchedule {
    private static final long MILLI = FakeDeployment.MILLI;
    private static final int SERVERS = 8;
    private static final String[] PATHS = {"/free", "/free", "/batch", "/home"};
    private static final String[] ORGANISATIONS = {null, "big", "small", "home-b", "unknown"};

    private final FakeDeployment deployment;
    private final SplittableRandom random;
    private final Set<String> outOfService = new HashSet<>();
    private final Set<Integer> drained = new HashSet<>();
    private final Set<Integer> removed = new HashSet<>();
    private long generation;

    RandomSchedule(FakeDeployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        reconfigure();
    }

    void step() {
        int kind = random.nextInt(20);
        if (kind < 14) {
            burst();
        } else if (kind < 15) {
            disconnectCaller();
        } else if (kind < 18) {
            toggleFault(deployment.server("s" + random.nextInt(SERVERS)));
        } else {
            changeConfig();
        }
        deployment.runFor(random.nextLong(20 * MILLI));
    }

    void clearFaults() {
        for (FakeServer server : deployment.servers.values()) {
            server.down = false;
            server.refuses = false;
            server.draining = false;
        }
    }

    private void reconfigure() {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (!removed.contains(i)) {
                String domain = DeploymentFixtures.DOMAINS[i % DeploymentFixtures.DOMAINS.length];
                servers.add(DeploymentFixtures.server("s" + i, domain, 2, drained.contains(i)));
            }
        }
        deployment.configure(DeploymentFixtures.config(++generation, servers, outOfService));
    }

    private void burst() {
        int size = 1 + random.nextInt(30);
        for (int i = 0; i < size; i++) {
            String path = PATHS[random.nextInt(PATHS.length)];
            String organisation = ORGANISATIONS[random.nextInt(ORGANISATIONS.length)];
            String key = random.nextBoolean() ? "k" + deployment.calls.size() : null;
            boolean post = random.nextInt(3) == 0;
            deployment.arrive(
                    random.nextInt(deployment.engines.size()),
                    post
                            ? DeploymentFixtures.post(path, key)
                            : DeploymentFixtures.get(path, organisation));
            if (random.nextInt(4) == 0) {
                deployment.runFor(random.nextLong(MILLI));
            }
        }
    }

    private void disconnectCaller() {
        List<FakeCall> open =
                deployment.calls.values().stream()
                        .filter(c -> !c.callerDisconnected && c.finalActions == 0)
                        .toList();
        if (!open.isEmpty()) {
            deployment.callerDisconnected(open.get(random.nextInt(open.size())));
        }
    }

    private void toggleFault(FakeServer server) {
        if (server == null) {
            return;
        }
        switch (random.nextInt(8)) {
            case 0 -> server.slowFactor = server.slowFactor > 1 ? 1 : 20;
            case 1 -> server.failsFast = !server.failsFast;
            case 2 -> server.refuses = !server.refuses;
            case 3 -> server.down = !server.down;
            case 4 -> server.breakRate = server.breakRate > 0 ? 0 : 0.3;
            case 5 -> server.draining = !server.draining;
            default -> {
                server.cold = !server.cold;
                server.reportsCold = server.cold;
            }
        }
    }

    private void changeConfig() {
        int server = random.nextInt(SERVERS);
        switch (random.nextInt(4)) {
            case 0 -> toggle(drained, server);
            case 1 -> toggle(removed, server);
            default ->
                    toggle(
                            outOfService,
                            DeploymentFixtures.DOMAINS[
                                    random.nextInt(DeploymentFixtures.DOMAINS.length)]);
        }
        reconfigure();
    }

    private static <T> void toggle(Set<T> set, T value) {
        if (!set.remove(value)) {
            set.add(value);
        }
    }
}
