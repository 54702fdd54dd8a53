package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.selection.PolicyName;

/** Runs of 15 instances and 12 backend servers with 2 slots and 2 ms mean service time. */
class ScenarioTest {
    private static final long MILLI = FakeFleet.MILLI;
    private static final int SERVERS = 12;
    private static final int SLOTS = 2;
    private static final double CAPACITY_PER_SECOND = SERVERS * SLOTS * 500.0;
    private static final List<CallHead> INTERACTIVE = List.of(Fleets.get("/free", null));

    /** Guards against a straggler that keeps getting calls: its share must collapse. */
    @Test
    void stragglerLosesItsShare() {
        LoadedFleet fleet = warm(0.7);
        fleet.server("s0").slowFactor = 20;
        fleet.load(0.7 * CAPACITY_PER_SECOND, 200 * MILLI, INTERACTIVE);
        long before = servedBy(fleet, "s0");
        long all = served(fleet);
        fleet.load(0.7 * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
        // The server can do a twentieth of its share; twice that would be a queue.
        double share = (double) (servedBy(fleet, "s0") - before) / (served(fleet) - all);
        assertThat(share).isPositive().isLessThan(2.0 / SERVERS / 20);
    }

    /** Guards against a server that fails fast and therefore looks idle attracting calls. */
    @Test
    void failFastServerAttractsNoCalls() {
        LoadedFleet fleet = warm(0.7);
        fleet.server("s0").failsFast = true;
        long since = fleet.nowNanos;
        fleet.load(0.7 * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
        long calls = arrivedSince(fleet, since).size();
        assertThat(fleet.failedFast).isLessThan((int) (calls / (2L * SERVERS)));
        fleet.server("s0").failsFast = false;
        fleet.runFor(MILLI);
        long before = servedBy(fleet, "s0");
        fleet.load(0.7 * CAPACITY_PER_SECOND, 3_000 * MILLI, INTERACTIVE);
        assertThat(servedBy(fleet, "s0") - before).as("calls after recovery").isPositive();
    }

    /** Guards against crushing a server that became cold without notice. */
    @Test
    void serverGoneColdIsRelieved() {
        LoadedFleet fleet = warm(0.7);
        FakeServer cold = fleet.server("s0");
        cold.cold = true;
        fleet.load(0.7 * CAPACITY_PER_SECOND, 300 * MILLI, INTERACTIVE);
        cold.mostHeld = 0;
        fleet.load(0.7 * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        assertThat(cold.mostHeld).as("calls held at once").isLessThanOrEqualTo(2 * SLOTS);
    }

    /** Guards against failed interactive calls and lasting delay when a failure domain leaves. */
    @Test
    void failureDomainLeavesAndReturns() {
        LoadedFleet fleet = warm(0.5);
        double rate = 0.5 * CAPACITY_PER_SECOND;
        long start = fleet.nowNanos;
        fleet.load(rate, 1_000 * MILLI, INTERACTIVE);
        double p99 = fleet.latencyMillis(0.99, start, "/free");
        fleet.configure(
                Fleets.config(2, Fleets.servers(SERVERS, SLOTS, "a1", "a2", "a1"), Set.of("a2")));
        long left = servedBy(fleet, "s1");
        fleet.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(servedBy(fleet, "s1") - left).as("running calls only").isLessThan(30);
        fleet.configure(
                Fleets.config(3, Fleets.servers(SERVERS, SLOTS, "a1", "a2", "a1"), Set.of()));
        fleet.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(arrivedSince(fleet, start)).allMatch(call -> call.refusal == null);
        long recovered = fleet.nowNanos;
        fleet.load(rate, 2_000 * MILLI, INTERACTIVE);
        assertThat(fleet.latencyMillis(0.99, recovered, "/free")).isLessThan(1.5 * p99);
        assertThat(servedBy(fleet, "s1") - left).as("calls after the return").isGreaterThan(100);
    }

    /** Guards against batch calls delaying interactive ones, and against lost capacity. */
    @Test
    void overloadWithBatchKeepsInteractiveFast() {
        LoadedFleet fleet = warm(0.85);
        long start = fleet.nowNanos;
        fleet.load(0.85 * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        double p99 = fleet.latencyMillis(0.99, start, "/free");
        long since = fleet.nowNanos;
        long before = served(fleet);
        List<CallHead> mix = List.of(Fleets.get("/free", null), Fleets.get("/batch", "big"));
        fleet.load(1.3 * CAPACITY_PER_SECOND, 2_000 * MILLI, mix);
        assertThat(served(fleet) - before).isGreaterThan((long) (0.95 * 2 * CAPACITY_PER_SECOND));
        assertThat(fleet.latencyMillis(0.99, since, "/free")).isLessThan(2 * p99);
        List<FakeCall> interactive =
                arrivedSince(fleet, since).stream()
                        .filter(call -> call.head.path().equals("/free"))
                        .toList();
        // Interactive calls alone are 65% of the capacity; the goodput target applies to them.
        long refused = interactive.stream().filter(call -> call.refusal != null).count();
        assertThat(refused).isLessThan((long) (0.05 * interactive.size()));
    }

    /** Guards against a policy that costs latency while nothing is wrong. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.7, 0.85})
    void steadyLoadIsWithinFivePercentOfTheBestBaseline(double utilisation) {
        double best = Double.MAX_VALUE;
        double adaptive = 0;
        for (PolicyName policy : PolicyName.values()) {
            LoadedFleet fleet = PolicyComparison.fleet(policy, "a1", "a2");
            fleet.load(utilisation * CAPACITY_PER_SECOND, 500 * MILLI, INTERACTIVE);
            long since = fleet.nowNanos;
            fleet.load(utilisation * CAPACITY_PER_SECOND, 2_000 * MILLI, INTERACTIVE);
            double p99 = fleet.latencyMillis(0.99, since, "/free");
            if (policy.isAdaptive()) {
                adaptive = p99;
            } else {
                best = Math.min(best, p99);
            }
        }
        assertThat(adaptive).isLessThanOrEqualTo(1.05 * best);
    }

    private static LoadedFleet warm(double utilisation) {
        LoadedFleet fleet = PolicyComparison.fleet(PolicyName.ADAPTIVE, "a1", "a2", "a1");
        fleet.load(utilisation * CAPACITY_PER_SECOND, 1_000 * MILLI, INTERACTIVE);
        return fleet;
    }

    private static long servedBy(LoadedFleet fleet, String server) {
        return fleet.server(server).served;
    }

    private static long served(LoadedFleet fleet) {
        return fleet.servers.values().stream().mapToLong(server -> server.served).sum();
    }

    private static Collection<FakeCall> arrivedSince(LoadedFleet fleet, long sinceNanos) {
        return fleet.calls.values().stream().filter(c -> c.arrivedNanos >= sinceNanos).toList();
    }
}
