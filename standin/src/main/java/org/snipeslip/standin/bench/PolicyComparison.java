package org.snipeslip.standin.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.standin.CallPlan;
import org.snipeslip.standin.DeploymentSpec;
import org.snipeslip.standin.EmbeddedDeployment;
import org.snipeslip.standin.LoadGenerator;
import org.snipeslip.standin.LoadResult;

/**
 * Compares selection policies on live entry instances, with rounds of all policies interleaved in
 * one run, and prints the median of the rounds and their range.
 */
public final class PolicyComparison {
    private static final int BASE_PORT = 20_000;
    private static final int INSTANCES = 15;
    private static final int FAILURE_DOMAINS = 6;
    private static final int BACKEND_SERVERS = 12;
    private static final int SLOTS = 2;
    private static final long MEAN_SERVICE_MICROS = 10_000;
    private static final int QUEUE_LIMIT = 8;
    private static final double WARM_UP_SECONDS = 1;
    private static final double WARM_UP_SHARE = 0.5;

    private final Map<String, CallSettings> policies;
    private final PrintStream out;

    /**
     * Creates a comparison.
     *
     * @param policies settings by name, in the order of the report
     * @param out receives the report
     */
    public PolicyComparison(Map<String, CallSettings> policies, PrintStream out) {
        this.policies = new LinkedHashMap<>(policies);
        this.out = out;
    }

    /**
     * Runs one scenario.
     *
     * @param scenario load and faults
     * @param rounds rounds of each policy
     * @param seconds duration of a round
     * @throws IOException if a port cannot be opened
     * @throws InterruptedException if the thread is interrupted
     */
    public void run(Scenario scenario, int rounds, double seconds)
            throws IOException, InterruptedException {
        Map<String, List<Round>> results = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Map.Entry<String, CallSettings> policy : policies.entrySet()) {
                results.computeIfAbsent(policy.getKey(), name -> new ArrayList<>())
                        .add(runRound(policy.getValue(), scenario, seconds, round));
            }
        }
        out.printf("scenario %s: %d rounds of %.0f s%n", scenario.name(), rounds, seconds);
        results.forEach(this::print);
    }

    private Round runRound(CallSettings call, Scenario scenario, double seconds, int round)
            throws IOException, InterruptedException {
        DeploymentSpec spec =
                new DeploymentSpec(
                        INSTANCES,
                        FAILURE_DOMAINS,
                        BACKEND_SERVERS,
                        SLOTS,
                        MEAN_SERVICE_MICROS,
                        QUEUE_LIMIT,
                        call);
        try (EmbeddedDeployment deployment = new EmbeddedDeployment(spec, BASE_PORT);
                LoadGenerator load = new LoadGenerator()) {
            double capacity = spec.capacityPerSecond();
            load.run(readPlan(deployment, capacity * WARM_UP_SHARE), WARM_UP_SECONDS, round);
            try (FaultInjector faults =
                    new FaultInjector(deployment, scenario.fault(), seconds, round)) {
                CompletableFuture<LoadResult> batch =
                        startBatchLoad(deployment, load, scenario, seconds);
                LoadResult interactive =
                        load.run(
                                readPlan(deployment, capacity * scenario.loadShare()),
                                seconds,
                                100 + round);
                return new Round(interactive, batch.join(), capacity * seconds);
            }
        }
    }

    private static CompletableFuture<LoadResult> startBatchLoad(
            EmbeddedDeployment deployment, LoadGenerator load, Scenario scenario, double seconds) {
        if (scenario.batchShare() == 0) {
            return CompletableFuture.completedFuture(null);
        }
        double rate = BACKEND_SERVERS * SLOTS * 1e6 / MEAN_SERVICE_MICROS * scenario.batchShare();
        CallPlan plan =
                CallPlan.reads(deployment.callerOrigins(), EmbeddedDeployment.BATCH_PATH, rate);
        CompletableFuture<LoadResult> result = new CompletableFuture<>();
        Thread.ofPlatform()
                .name("batch-load")
                .start(
                        () -> {
                            try {
                                result.complete(load.run(plan, seconds, 7));
                            } catch (InterruptedException e) {
                                result.completeExceptionally(e);
                            }
                        });
        return result;
    }

    private static CallPlan readPlan(EmbeddedDeployment deployment, double rate) {
        return CallPlan.reads(deployment.callerOrigins(), EmbeddedDeployment.READ_PATH, rate);
    }

    private void print(String policy, List<Round> rounds) {
        Map<String, Long> errors = new TreeMap<>();
        for (Round round : rounds) {
            round.interactive.results().forEach((name, n) -> errors.merge(name, n, Long::sum));
        }
        out.printf(
                "  %-12s p50 %s p99 %s p99.9 %s ms  goodput %s  results %s%n",
                policy,
                medianAndRange(rounds, 50),
                medianAndRange(rounds, 99),
                medianAndRange(rounds, 99.9),
                median(rounds.stream().mapToDouble(Round::goodputShare).toArray()),
                errors);
    }

    private static String medianAndRange(List<Round> rounds, double percentile) {
        double[] values =
                rounds.stream()
                        .mapToDouble(r -> r.interactive.latencyMillisAt(percentile))
                        .toArray();
        java.util.Arrays.sort(values);
        return "%s (%.1f-%.1f)".formatted(median(values), values[0], values[values.length - 1]);
    }

    private static String median(double[] values) {
        java.util.Arrays.sort(values);
        return "%.2f".formatted(values[values.length / 2]);
    }

    private record Round(LoadResult interactive, LoadResult batch, double capacityCalls) {
        double goodputShare() {
            long served = interactive.results().getOrDefault(LoadResult.OK, 0L);
            if (batch != null) {
                served += batch.results().getOrDefault(LoadResult.OK, 0L);
            }
            return served / capacityCalls;
        }
    }
}
