package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.selection.PolicyName;

/** Scenarios with 15 instances and 12 backend servers of 2 slots and 2 ms mean service time. */
class CallEngineScenarioTest {
    private static final long MILLI = FakeDeployment.MILLI;
    private static final int SERVERS = 12;
    private static final int SLOTS = 2;
    private static final double CAPACITY_PER_SECOND = SERVERS * SLOTS * 500.0;
    private static final List<CallHead> INTERACTIVE =
            List.of(DeploymentFixtures.get("/free", null));

    /** Guards against a slow server that keeps receiving calls: its share must drop sharply. */
    @Test
    void slowServerLosesItsShareOfCalls() {
        LoadedDeployment deployment = warmDeployment(0.7);
        deployment.server("s0").slowFactor = 20;
        deployment.load(0.7 * CAPACITY_PER_SECOND, 200 * MILLI, INTERACTIVE);
        long servedBefore = servedBy(deployment, "s0");
        long totalBefore = served(deployment);
        deployment.load(0.7 * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
        // The server can serve a twentieth of its usual share; twice that would build up a queue.
        double share =
                (double) (servedBy(deployment, "s0") - servedBefore)
                        / (served(deployment) - totalBefore);
        assertThat(share).isPositive().isLessThan(2.0 / SERVERS / 20);
    }

    /** Guards against a server that fails fast, looks idle and therefore attracts calls. */
    @Test
    void failFastServerAttractsNoCalls() {
        LoadedDeployment deployment = warmDeployment(0.7);
        deployment.server("s0").failsFast = true;
        long sinceNanos = deployment.nowNanos;
        deployment.load(0.7 * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
        long calls = arrivedSince(deployment, sinceNanos).size();
        assertThat(deployment.failedFast).isLessThan((int) (calls / (2L * SERVERS)));
        deployment.server("s0").failsFast = false;
        deployment.runFor(MILLI);
        long servedBefore = servedBy(deployment, "s0");
        deployment.load(0.7 * CAPACITY_PER_SECOND, 3_000 * MILLI, INTERACTIVE);
        assertThat(servedBy(deployment, "s0") - servedBefore)
                .as("calls after recovery")
                .isPositive();
    }

    /** Guards against overloading a server that became cold without reporting it. */
    @Test
    void limitsCallsToServerThatBecameCold() {
        LoadedDeployment deployment = warmDeployment(0.7);
        FakeServer cold = deployment.server("s0");
        cold.cold = true;
        deployment.load(0.7 * CAPACITY_PER_SECOND, 300 * MILLI, INTERACTIVE);
        cold.maxHeld = 0;
        deployment.load(0.7 * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        assertThat(cold.maxHeld).as("calls held at once").isLessThanOrEqualTo(2 * SLOTS);
    }

    /**
     * Guards against refused interactive calls and lasting delay when a failure domain goes out of
     * service and returns.
     */
    @Test
    void refusesNoCallWhenFailureDomainLeavesAndReturns() {
        LoadedDeployment deployment = warmDeployment(0.5);
        double rate = 0.5 * CAPACITY_PER_SECOND;
        long startNanos = deployment.nowNanos;
        deployment.load(rate, 1_000 * MILLI, INTERACTIVE);
        double p99Millis = deployment.latencyMillis(0.99, startNanos, "/free");
        deployment.configure(
                DeploymentFixtures.config(
                        2,
                        DeploymentFixtures.servers(SERVERS, SLOTS, "a1", "a2", "a1"),
                        Set.of("a2")));
        long servedAtOutage = servedBy(deployment, "s1");
        deployment.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(servedBy(deployment, "s1") - servedAtOutage)
                .as("calls served during the outage, running ones only")
                .isLessThan(30);
        deployment.configure(
                DeploymentFixtures.config(
                        3, DeploymentFixtures.servers(SERVERS, SLOTS, "a1", "a2", "a1"), Set.of()));
        deployment.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(arrivedSince(deployment, startNanos)).allMatch(call -> call.refusal == null);
        long recoveredNanos = deployment.nowNanos;
        deployment.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(deployment.latencyMillis(0.99, recoveredNanos, "/free"))
                .isLessThan(1.5 * p99Millis);
        assertThat(servedBy(deployment, "s1") - servedAtOutage)
                .as("calls after the return")
                .isGreaterThan(100);
    }

    /** Guards against batch calls that delay interactive ones under overload, and lost capacity. */
    @Test
    void overloadWithBatchKeepsInteractiveFast() {
        LoadedDeployment deployment = warmDeployment(0.85);
        long startNanos = deployment.nowNanos;
        deployment.load(0.85 * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        double p99Millis = deployment.latencyMillis(0.99, startNanos, "/free");
        long sinceNanos = deployment.nowNanos;
        long servedBefore = served(deployment);
        List<CallHead> mix =
                List.of(
                        DeploymentFixtures.get("/free", null),
                        DeploymentFixtures.get("/batch", "big"));
        deployment.load(1.3 * CAPACITY_PER_SECOND, 2_000 * MILLI, mix);
        assertThat(served(deployment) - servedBefore)
                .isGreaterThan((long) (0.95 * 2 * CAPACITY_PER_SECOND));
        assertThat(deployment.latencyMillis(0.99, sinceNanos, "/free")).isLessThan(2 * p99Millis);
        List<FakeCall> interactive =
                arrivedSince(deployment, sinceNanos).stream()
                        .filter(call -> call.head.path().equals("/free"))
                        .toList();
        // Interactive calls alone are 65% of the capacity; the goodput target applies to them.
        long refused = interactive.stream().filter(call -> call.refusal != null).count();
        assertThat(refused).isLessThan((long) (0.05 * interactive.size()));
    }

    /** Guards against an adaptive policy that adds latency when there is no fault. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.7, 0.85})
    void steadyLoadIsWithinFivePercentOfTheBestBaseline(double utilisation) {
        double bestMillis = Double.MAX_VALUE;
        double adaptiveMillis = 0;
        for (PolicyName policy : PolicyName.values()) {
            LoadedDeployment deployment = SimulatedPolicyComparison.deployment(policy, "a1", "a2");
            deployment.load(utilisation * CAPACITY_PER_SECOND, 500 * MILLI, INTERACTIVE);
            long sinceNanos = deployment.nowNanos;
            deployment.load(utilisation * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
            double p99Millis = deployment.latencyMillis(0.99, sinceNanos, "/free");
            if (policy.isAdaptive()) {
                adaptiveMillis = p99Millis;
            } else {
                bestMillis = Math.min(bestMillis, p99Millis);
            }
        }
        assertThat(adaptiveMillis).isLessThanOrEqualTo(1.05 * bestMillis);
    }

    private static LoadedDeployment warmDeployment(double utilisation) {
        LoadedDeployment deployment =
                SimulatedPolicyComparison.deployment(PolicyName.ADAPTIVE, "a1", "a2", "a1");
        deployment.load(utilisation * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        return deployment;
    }

    private static long servedBy(LoadedDeployment deployment, String server) {
        return deployment.server(server).served;
    }

    private static long served(LoadedDeployment deployment) {
        return deployment.servers.values().stream().mapToLong(server -> server.served).sum();
    }

    private static Collection<FakeCall> arrivedSince(LoadedDeployment deployment, long sinceNanos) {
        return deployment.calls.values().stream()
                .filter(c -> c.arrivedNanos >= sinceNanos)
                .toList();
    }
}
