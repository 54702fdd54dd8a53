package org.snipeslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.snipeslip.core.call.CallSettings;

/**
 * Runs several entry instances against embedded stand-ins and reports latencies. The added latency
 * is the difference between calls through snipeslip and direct calls to the same backend servers,
 * measured in alternating slices of one run after a warm-up.
 */
public final class Demo {
    private static final DeploymentSpec SPEC =
            new DeploymentSpec(3, 6, 6, 64, 0, 1_000, CallSettings.DEFAULT);
    private static final int BASE_PORT = 18_000;
    private static final int SLICES = 5;
    private static final double WARM_UP_SECONDS = 2;

    private final PrintStream out;

    /**
     * Creates a demo.
     *
     * @param out receives the report
     */
    public Demo(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs the demo.
     *
     * @param seconds duration of the measured load
     * @param callsPerSecond rate of the load
     * @return the number of failed calls
     * @throws IOException if a port cannot be opened
     * @throws InterruptedException if the thread is interrupted
     */
    public long run(int seconds, int callsPerSecond) throws IOException, InterruptedException {
        try (EmbeddedDeployment deployment = new EmbeddedDeployment(SPEC, BASE_PORT);
                LoadGenerator load = new LoadGenerator()) {
            CallPlan proxied = plan(deployment.callerOrigins(), callsPerSecond);
            CallPlan direct = plan(deployment.backendOrigins(), callsPerSecond);
            load.run(proxied, WARM_UP_SECONDS, 0);
            load.run(direct, WARM_UP_SECONDS, 0);
            Totals proxiedTotals = new Totals();
            Totals directTotals = new Totals();
            double sliceSeconds = seconds / (2.0 * SLICES);
            for (int slice = 1; slice <= SLICES; slice++) {
                proxiedTotals.add(load.run(proxied, sliceSeconds, slice));
                directTotals.add(load.run(direct, sliceSeconds, slice));
            }
            report(proxiedTotals, directTotals, callsPerSecond);
            return proxiedTotals.failures;
        }
    }

    private static CallPlan plan(List<URI> origins, int callsPerSecond) {
        return CallPlan.reads(origins, EmbeddedDeployment.READ_PATH, callsPerSecond);
    }

    private void report(Totals proxied, Totals direct, int callsPerSecond) {
        out.printf(
                "snipeslip demo: %d entry instances, %d backend servers, %d calls/s%n",
                SPEC.instances(), SPEC.backendServers(), callsPerSecond);
        proxied.print("through snipeslip");
        direct.print("direct");
        for (double percentile : new double[] {50, 99, 99.9}) {
            out.printf(
                    "added latency p%s: %.3f ms%n",
                    percentile == 99.9 ? "99.9" : Integer.toString((int) percentile),
                    (proxied.micros(percentile) - direct.micros(percentile)) / 1_000.0);
        }
    }

    /** Accumulated results of several slices. */
    private final class Totals {
        private final Histogram latencyMicros = new Histogram(60_000_000L, 3);
        private long calls;
        private long failures;

        void add(LoadResult result) {
            latencyMicros.add(result.latencyMicros());
            calls += result.calls();
            failures += result.failures();
        }

        long micros(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile);
        }

        void print(String label) {
            out.printf(
                    "%-18s calls %d failed %d p50 %.3f ms p99 %.3f ms p99.9 %.3f ms%n",
                    label,
                    calls,
                    failures,
                    micros(50) / 1_000.0,
                    micros(99) / 1_000.0,
                    micros(99.9) / 1_000.0);
        }
    }
}
