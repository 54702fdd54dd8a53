package org.snipeslip.standin.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.standin.CallPlan;
import org.snipeslip.standin.DeploymentSpec;
import org.snipeslip.standin.EmbeddedDeployment;
import org.snipeslip.standin.LoadGenerator;
import org.snipeslip.standin.LoadResult;
import org.snipeslip.standin.ObjectApiStandIn;
import org.snipeslip.standin.StoreFaults;

/** Measurements on entry instances as separate processes: configuration, charges, rolling stop. */
public final class FleetBench implements AutoCloseable {
    private static final int BASE_PORT = 24_000;
    private static final int FAILURE_DOMAINS = 6;
    private static final int BACKEND_SERVERS = 12;
    private static final int SLOTS = 4;
    private static final long MEAN_SERVICE_MICROS = 5_000;
    private static final int QUEUE_LIMIT = 32;
    private static final long POLL_MILLIS = 2;
    private static final long BALANCER_LAG_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 4_000;

    private final EmbeddedDeployment deployment;
    private final Fleet fleet;
    private final ReadinessPoller poller;
    private final LoadGenerator load;
    private final PrintStream out;
    private long generation = 1;

    /**
     * Starts the platform stand-ins and the instances, and waits until all are ready.
     *
     * @param jar the executable jar
     * @param directory receives settings files and logs
     * @param size number of instances
     * @param out receives the report
     * @throws IOException if a process or port cannot be opened
     * @throws InterruptedException if the thread is interrupted
     */
    public FleetBench(Path jar, Path directory, int size, PrintStream out)
            throws IOException, InterruptedException {
        this.out = out;
        deployment =
                new EmbeddedDeployment(
                        new DeploymentSpec(
                                0,
                                FAILURE_DOMAINS,
                                BACKEND_SERVERS,
                                SLOTS,
                                MEAN_SERVICE_MICROS,
                                QUEUE_LIMIT,
                                CallSettings.DEFAULT),
                        BASE_PORT);
        fleet = new Fleet(jar, directory, BASE_PORT, size, FAILURE_DOMAINS);
        poller = new ReadinessPoller();
        load = new LoadGenerator();
        awaitGenerationOnAllInstances();
        Thread.sleep(SETTLE_MILLIS);
    }

    /**
     * Measures the time from a publication to the moment when it is in force on all instances.
     *
     * @param publications number of publications
     * @throws IOException if a publication fails
     * @throws InterruptedException if the thread is interrupted
     */
    public void measurePropagation(int publications) throws IOException, InterruptedException {
        Histogram micros = new Histogram(60_000_000L, 3);
        ObjectApiStandIn.CallCounts before = deployment.objectApi().counts();
        long startNanos = System.nanoTime();
        for (int i = 0; i < publications; i++) {
            publish(i % 2 == 0 ? List.of(FAILURE_DOMAINS - 1) : List.of());
            long publishedNanos = System.nanoTime();
            awaitGenerationOnAllInstances();
            micros.recordValue((System.nanoTime() - publishedNanos) / 1_000);
        }
        ObjectApiStandIn.CallCounts after = deployment.objectApi().counts();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf(
                "spread: %d instances, %d publications: p50 %.1f ms p99 %.1f ms max %.1f ms;"
                        + " object API reads %d writes %d watches %d in %.1f s%n",
                fleet.size(),
                publications,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getMaxValue() / 1e3,
                after.reads() - before.reads(),
                after.writes() - before.writes(),
                after.watches() - before.watches(),
                seconds);
    }

    /**
     * Sends every charge to two instances at the same time and, if requested, injects faults into
     * instances and the object API.
     *
     * @param seconds duration of the load
     * @param chargesPerSecond rate of distinct keys
     * @param faults whether faults are injected
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public void measureCharges(int seconds, double chargesPerSecond, boolean faults)
            throws IOException, InterruptedException {
        CallPlan plan =
                CallPlan.keyed(
                        fleet.callerOrigins(),
                        EmbeddedDeployment.CHARGE_PATH,
                        chargesPerSecond,
                        "run-" + generation + (faults ? "-faults" : "-quiet"),
                        2);
        CompletableFuture<LoadResult> result = runInBackground(plan, seconds);
        if (faults) {
            injectFaults(result);
        }
        LoadResult loadResult = result.join();
        out.printf(
                "charges %s: keys run %d, run twice %d; p50 %.1f ms p99 %.1f ms; results %s%n",
                faults ? "with faults" : "without faults",
                deployment.executionCounter().distinctKeys(),
                deployment.executionCounter().repeatedKeys(),
                loadResult.latencyMillisAt(50),
                loadResult.latencyMillisAt(99),
                loadResult.results());
    }

    /**
     * Stops and restarts every instance in turn under load.
     *
     * @param callsPerSecond rate of the load
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public void measureRollingStop(double callsPerSecond) throws IOException, InterruptedException {
        try (BalancerStandIn balancer = new BalancerStandIn(fleet, poller, BALANCER_LAG_MILLIS)) {
            CallPlan plan =
                    new CallPlan(
                            balancer::origins,
                            "GET",
                            EmbeddedDeployment.READ_PATH,
                            callsPerSecond,
                            "",
                            1,
                            java.util.Map.of());
            CompletableFuture<LoadResult> result = runInBackground(plan, fleet.size() * 12.0);
            for (int i = 0; i < fleet.size(); i++) {
                fleet.process(i).destroy();
                fleet.process(i).waitFor(90, TimeUnit.SECONDS);
                fleet.restart(i);
                awaitGenerationOnAllInstances();
                if (result.isDone()) {
                    out.printf("rolling stop: the load ended after %d instances%n", i + 1);
                }
            }
            LoadResult loadResult = result.join();
            out.printf(
                    "rolling stop of %d instances: calls %d, cut or failed %d; p99 %.1f ms; %s%n",
                    fleet.size(),
                    loadResult.calls(),
                    loadResult.failures(),
                    loadResult.latencyMillisAt(99),
                    loadResult.results());
        }
    }

    private void injectFaults(CompletableFuture<LoadResult> running)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; !running.isDone(); i++) {
            Thread.sleep(1_000);
            int target = random.nextInt(fleet.size());
            switch (i % 4) {
                case 0 -> {
                    fleet.signal(target, "KILL");
                    Thread.sleep(500);
                    fleet.restart(target);
                }
                case 1 -> {
                    fleet.signal(target, "STOP");
                    Thread.sleep(3_000);
                    fleet.signal(target, "CONT");
                }
                case 2 -> {
                    deployment.objectApi().setFaults(new StoreFaults(true, 0, 0));
                    Thread.sleep(2_000);
                    deployment.objectApi().setFaults(StoreFaults.NONE);
                }
                default -> {
                    deployment.objectApi().setFaults(new StoreFaults(false, 20, 0.2));
                    Thread.sleep(2_000);
                    deployment.objectApi().setFaults(StoreFaults.NONE);
                }
            }
        }
        deployment.objectApi().setFaults(StoreFaults.NONE);
    }

    private CompletableFuture<LoadResult> runInBackground(CallPlan plan, double seconds) {
        CompletableFuture<LoadResult> result = new CompletableFuture<>();
        Thread.ofPlatform()
                .daemon()
                .name("load")
                .start(
                        () -> {
                            try {
                                result.complete(load.run(plan, seconds, 3));
                            } catch (InterruptedException | RuntimeException e) {
                                result.completeExceptionally(e);
                            }
                        });
        return result;
    }

    private void publish(List<Integer> outOfService) throws IOException, InterruptedException {
        deployment.publishOutOfService(outOfService);
        generation++;
    }

    private void awaitGenerationOnAllInstances() throws InterruptedException {
        List<URI> operators = fleet.operatorOrigins();
        while (!poller.allHaveGeneration(operators, generation)) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        load.close();
        poller.close();
        fleet.close();
        deployment.close();
    }

    /**
     * Runs "spread", "charges", "faults" or "rolling", with the executable jar as first argument.
     *
     * @param args jar, directory, number of instances, then measurements
     * @throws Exception if the fleet cannot be started
     */
    public static void main(String[] args) throws Exception {
        try (FleetBench bench =
                new FleetBench(
                        Path.of(args[0]),
                        Path.of(args[1]),
                        Integer.parseInt(args[2]),
                        System.out)) {
            for (String name : IntStream.range(3, args.length).mapToObj(i -> args[i]).toList()) {
                switch (name) {
                    case "spread" -> bench.measurePropagation(100);
                    case "charges" -> bench.measureCharges(10, 50, false);
                    case "faults" -> bench.measureCharges(40, 50, true);
                    case "rolling" -> bench.measureRollingStop(500);
                    default -> throw new IllegalArgumentException("unknown measurement: " + name);
                }
            }
        }
        System.exit(0);
    }
}
