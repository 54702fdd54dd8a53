package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.selection.PolicyName;

/**
 * Prints the latencies of all selection policies on simulated servers, scenario by scenario. Not
 * run by CI; it produces the figures in docs/POLICY.md.
 */
public final class SimulatedPolicyComparison {
    private static final long MILLI = FakeDeployment.MILLI;
    private static final int INSTANCES = 15;
    private static final int SERVERS = 12;
    private static final int SLOTS = 2;

    /** Number of slots divided by the mean service time of 2 ms. */
    private static final double CAPACITY_PER_SECOND = SERVERS * SLOTS * 500.0;

    private SimulatedPolicyComparison() {}

    /**
     * Runs all scenarios and prints one line per policy for each.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        for (double utilisation : new double[] {0.5, 0.7, 0.85, 1.3}) {
            compare("steady " + utilisation, utilisation, deployment -> {});
        }
        compare("straggler 0.7", 0.7, deployment -> deployment.server("s0").slowFactor = 20);
        compare("fail-fast 0.7", 0.7, deployment -> deployment.server("s0").failsFast = true);
        compare("went cold 0.7", 0.7, deployment -> deployment.server("s0").cold = true);
        compare(
                "straggler, noisy and fail-fast 0.7",
                0.7,
                deployment -> {
                    deployment.server("s0").slowFactor = 20;
                    deployment.server("s1").failsFast = true;
                    deployment.server("s2").slowFactor = 5;
                });
    }

    private static void compare(
            String name, double utilisation, java.util.function.Consumer<LoadedDeployment> fault) {
        System.out.printf("%s%n", name);
        for (PolicyName policy : PolicyName.values()) {
            LoadedDeployment deployment = deployment(policy, "a1", "a2");
            double rate = utilisation * CAPACITY_PER_SECOND;
            deployment.load(rate, 1_000 * MILLI, List.of(DeploymentFixtures.get("/free", null)));
            fault.accept(deployment);
            long sinceNanos = deployment.nowNanos;
            deployment.load(rate, 2_000 * MILLI, List.of(DeploymentFixtures.get("/free", null)));
            print(deployment, policy.name(), sinceNanos);
        }
    }

    static LoadedDeployment deployment(PolicyName policy, String... domains) {
        CallSettings settings = CallSettings.DEFAULT.withInstances(INSTANCES).withPolicy(policy);
        LoadedDeployment deployment = new LoadedDeployment(settings, INSTANCES, 7, domains);
        deployment.configure(
                DeploymentFixtures.config(
                        1,
                        DeploymentFixtures.servers(SERVERS, SLOTS, domains),
                        java.util.Set.of()));
        return deployment;
    }

    private static void print(LoadedDeployment deployment, String label, long sinceNanos) {
        long refused =
                deployment.calls.values().stream()
                        .filter(c -> c.arrivedNanos >= sinceNanos && c.refusal != null)
                        .count();
        System.out.printf(
                "  %-16s p50 %6.2f ms  p99 %7.2f ms  p99.9 %7.2f ms  calls %d refused %d"
                        + " extra tries %d%n",
                label,
                deployment.latencyMillis(0.5, sinceNanos, "/free"),
                deployment.latencyMillis(0.99, sinceNanos, "/free"),
                deployment.latencyMillis(0.999, sinceNanos, "/free"),
                deployment.calls.size(),
                refused,
                deployment.extraTries);
    }
}
