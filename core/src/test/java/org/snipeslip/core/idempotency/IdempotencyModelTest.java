package org.snipeslip.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterProperty;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Runs random schedules of 2 to 4 engines with lost, late, duplicated and reordered messages,
 * paused, crashed and restarted instances, differing member views, planned stops and object API
 * faults. Guards against calls that are executed twice, false "not run", wrong replays, records of
 * bound calls that leave their regions, and writes above the rate limit. The system property {@code
 * snipeslip.once.schedules} sets the number of schedules, 200 by default.
 */
class IdempotencyModelTest {
    private static final int PROPERTY_TRIES = 100;
    private static final int SCHEDULES = Integer.getInteger("snipeslip.once.schedules", 200);

    /**
     * Times are short, so that leases, checkpoints and deletions occur in a schedule of a minute.
     */
    private static final IdempotencySettings LONG_RETENTION = settings(600_000);

    /**
     * The retention time, and with it the recovery of in-memory partitions, ends during a schedule.
     * No key is submitted for longer than 2 s, and a decision takes at most 2 s, so no key is
     * submitted after its retention time.
     */
    private static final IdempotencySettings SHORT_RETENTION = settings(6_000);

    private static final Map<String, Integer> TOTALS = new TreeMap<>();
    private static final HomeRegions IN_NEAR =
            new HomeRegions(true, Set.of(IdempotencySimulation.NEAR));
    private static final HomeRegions IN_FAR =
            new HomeRegions(true, Set.of(IdempotencySimulation.FAR));

    @Property(
            tries = PROPERTY_TRIES,
            seed = "20261204",
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void noCallIsExecutedTwice(@ForAll long seed) {
        for (int i = 0; i < Math.max(1, SCHEDULES / PROPERTY_TRIES); i++) {
            runSchedule(seed + i);
        }
    }

    private static IdempotencySettings settings(long retentionMillis) {
        return new IdempotencySettings(
                2,
                1,
                8,
                1_500,
                500,
                1_000,
                retentionMillis,
                4_000,
                5_000,
                2_000,
                200,
                1_000,
                1_000,
                1_000,
                1_000,
                100,
                1_000,
                8,
                600,
                6,
                10);
    }

    /** Guards against schedules in which the decisions to be checked never occur. */
    @AfterProperty
    void everyKindOfDecisionOccurred() {
        System.out.println("schedules of the at-most-once model: " + TOTALS);
        if (TOTALS.getOrDefault("schedules", 0) >= SCHEDULES) {
            assertThat(TOTALS.values()).hasSize(5).allMatch(total -> total >= SCHEDULES);
        }
    }

    private static void runSchedule(long seed) {
        try {
            IdempotencySimulation sim =
                    new IdempotencySimulation(
                            seed, seed % 2 == 0 ? LONG_RETENTION : SHORT_RETENTION);
            new Schedule(sim, new SplittableRandom(seed)).run();
            TOTALS.merge("schedules", 1, Integer::sum);
            TOTALS.merge("granted", sim.oracle.grants, Integer::sum);
            TOTALS.merge("replayed", sim.oracle.replays, Integer::sum);
            TOTALS.merge("refused as not run", sim.oracle.refusedNotRun, Integer::sum);
            TOTALS.merge("refused as unknown", sim.oracle.refusedUnknown, Integer::sum);
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("schedule " + seed, e);
        }
    }

    /**
     * A random schedule. It ends with a period without faults in which new keys must be granted.
     */
    private static final class Schedule {
        private final IdempotencySimulation sim;
        private final SplittableRandom random;
        private final List<IdempotencyNode> nodes = new ArrayList<>();

        Schedule(IdempotencySimulation sim, SplittableRandom random) {
            this.sim = sim;
            this.random = random;
        }

        void run() {
            int count = random.nextInt(2, 5);
            for (int i = 0; i < count; i++) {
                nodes.add(
                        sim.add(
                                "i" + i,
                                i % 3 == 0
                                        ? IdempotencySimulation.NEAR
                                        : IdempotencySimulation.FAR));
            }
            sim.updateAllViews();
            for (int step = 0; step < 400; step++) {
                sim.runFor(random.nextLong(200));
                runRandomStep();
            }
            endFaults();
            sim.runFor(15_000);
            // Partitions of bound groups are taken over when their first claim arrives.
            submitOnePerGroup("wake");
            sim.runFor(5_000);
            List<ClaimDecision> last = submitOnePerGroup("last");
            assertThat(last.get(0)).isInstanceOf(ClaimDecision.Granted.class);
            assertThat(last.get(1)).isInstanceOf(ClaimDecision.Granted.class);
            // The owner of the in-memory partition may still be in recovery.
            assertThat(last.get(2))
                    .matches(
                            decision ->
                                    decision instanceof ClaimDecision.Granted
                                            || decision instanceof ClaimDecision.Refused refused
                                                    && refused.refusal().reason()
                                                            == RefusalReason
                                                                    .EARLIER_OUTCOME_UNKNOWN);
        }

        private List<ClaimDecision> submitOnePerGroup(String key) {
            List<RequestId> requests =
                    List.of(
                            sim.submit(nodes.get(0), key, HomeRegions.ANY),
                            sim.submit(nodes.get(0), key + "-near", IN_NEAR),
                            sim.submit(nodes.get(1), key + "-far", IN_FAR));
            sim.runFor(5_000);
            return requests.stream().map(sim.decisions::get).toList();
        }

        private void runRandomStep() {
            IdempotencyNode node = nodes.get(random.nextInt(nodes.size()));
            switch (random.nextInt(80)) {
                case 0 -> restart(node);
                case 1 -> startPlannedStop(node);
                case 2, 3 -> pause(node, 9_000);
                case 4, 5, 6 -> separate(node);
                case 7, 8 -> sim.updateView(node, nodes.get(random.nextInt(nodes.size())));
                case 9, 10, 11, 12, 13 -> sim.updateView(node, null);
                case 14, 15, 16 -> sim.apiFaults = faults(1);
                case 17 -> sim.apiFaults = new IdempotencySimulation.Faults(1, 0, 0, 0);
                case 18, 19, 20 -> sim.netFaults = faults(0.5);
                case 21, 22, 23, 24, 25, 26, 27 -> {
                    sim.apiFaults = IdempotencySimulation.Faults.NONE;
                    sim.netFaults = IdempotencySimulation.Faults.NONE;
                }
                default -> submit(node);
            }
        }

        private IdempotencySimulation.Faults faults(double factor) {
            return new IdempotencySimulation.Faults(
                    random.nextDouble(0.3 * factor),
                    random.nextDouble(0.3 * factor),
                    random.nextDouble(0.5 * factor),
                    random.nextLong(1, 1_500));
        }

        private void submit(IdempotencyNode node) {
            if (node.paused) {
                return;
            }
            boolean bound = random.nextBoolean();
            boolean near = node.region.equals(IdempotencySimulation.NEAR);
            HomeRegions regions = !bound ? HomeRegions.ANY : near ? IN_NEAR : IN_FAR;
            sim.submit(node, key() + regions.regions(), regions);
        }

        private String key() {
            long second = sim.now / (1_000 * IdempotencySimulation.MILLI);
            boolean old = sim.settings == LONG_RETENTION && random.nextInt(3) == 0;
            long age = old ? random.nextLong(1 + second) : random.nextInt(2);
            return "key" + (second - age) + "-" + random.nextInt(2);
        }

        /**
         * Removes a node from the view of another, freezes both views for a while, and may pause
         * the removed node.
         */
        private void separate(IdempotencyNode node) {
            IdempotencyNode other = nodes.get(random.nextInt(nodes.size()));
            long until = sim.now + random.nextLong(22_000) * IdempotencySimulation.MILLI;
            sim.updateView(other, node);
            node.viewFrozenUntilNanos = until;
            other.viewFrozenUntilNanos = until;
            if (node != other && random.nextInt(3) == 0) {
                pause(node, 18_000);
            }
        }

        private void restart(IdempotencyNode node) {
            sim.crash(node);
            sim.schedule(
                    random.nextLong(4_000) * IdempotencySimulation.MILLI,
                    () -> {
                        if (!node.up) {
                            sim.start(node);
                            sim.updateAllViews();
                        }
                    });
        }

        private void pause(IdempotencyNode node, long maxMillis) {
            node.paused = true;
            long process = node.incarnation;
            sim.schedule(
                    random.nextLong(maxMillis) * IdempotencySimulation.MILLI,
                    () -> {
                        if (node.incarnation == process) {
                            sim.resume(node);
                        }
                    });
        }

        private void startPlannedStop(IdempotencyNode node) {
            if (node.up && !node.leaving) {
                sim.startPlannedStop(node);
                sim.updateAllViews();
                sim.schedule(3_000 * IdempotencySimulation.MILLI, () -> restart(node));
            }
        }

        private void endFaults() {
            sim.apiFaults = IdempotencySimulation.Faults.NONE;
            sim.netFaults = IdempotencySimulation.Faults.NONE;
            sim.runFor(24_000);
            nodes.forEach(
                    node -> {
                        sim.resume(node);
                        if (!node.up) {
                            sim.start(node);
                        }
                    });
            sim.updateAllViews();
        }
    }
}
