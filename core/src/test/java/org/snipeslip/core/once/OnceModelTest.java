package org.snipeslip.core.once;

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
 * Random schedules of 2 to 4 engines with lost, late, doubled and reordered messages, paused, lost
 * and restarted instances, differing member views, planned stops and object API faults. Guards
 * against work that is started twice, false "not run", wrong replays, records of bound calls that
 * leave their regions, and writes above the rate. The system property {@code
 * snipeslip.once.schedules} sets the number of schedules, 200 by default.
 */
class OnceModelTest {
    private static final int PROPERTY_TRIES = 100;
    private static final int SCHEDULES = Integer.getInteger("snipeslip.once.schedules", 200);

    /** Short times, so that a schedule of a minute sees leases, checkpoints and deletions. */
    private static final OnceSettings LONG_RETENTION = settings(600_000);

    /**
     * The retention ends during a schedule, and with it the recovery of bound partitions. No key is
     * submitted for longer than 2 s, and a decision takes at most 2 s, so no key outlives it.
     */
    private static final OnceSettings SHORT_RETENTION = settings(6_000);

    private static final Map<String, Integer> TOTALS = new TreeMap<>();
    private static final HomeRegions IN_NEAR = new HomeRegions(true, Set.of(OnceSimulation.NEAR));
    private static final HomeRegions IN_FAR = new HomeRegions(true, Set.of(OnceSimulation.FAR));

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

    private static OnceSettings settings(long retentionMillis) {
        return new OnceSettings(
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

    /** Guards against a model that never reaches the decisions it is meant to check. */
    @AfterProperty
    void everyKindOfDecisionOccurred() {
        System.out.println("schedules of the at-most-once model: " + TOTALS);
        if (TOTALS.getOrDefault("schedules", 0) >= SCHEDULES) {
            assertThat(TOTALS.values()).hasSize(5).allMatch(total -> total >= SCHEDULES);
        }
    }

    private static void runSchedule(long seed) {
        try {
            OnceSimulation world = new OnceSimulation(seed, seed % 2 == 0 ? LONG_RETENTION : SHORT_RETENTION);
            new Schedule(world, new SplittableRandom(seed)).run();
            TOTALS.merge("schedules", 1, Integer::sum);
            TOTALS.merge("granted", world.oracle.grants, Integer::sum);
            TOTALS.merge("replayed", world.oracle.replays, Integer::sum);
            TOTALS.merge("refused as not run", world.oracle.refusedNotRun, Integer::sum);
            TOTALS.merge("refused as unknown", world.oracle.refusedUnknown, Integer::sum);
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("schedule " + seed, e);
        }
    }

    /** One random schedule; ends with a time without faults in which new keys must be granted. */
    private static final class Schedule {
        private final OnceSimulation world;
        private final SplittableRandom random;
        private final List<OnceNode> nodes = new ArrayList<>();

        Schedule(OnceSimulation world, SplittableRandom random) {
            this.world = world;
            this.random = random;
        }

        void run() {
            int count = random.nextInt(2, 5);
            for (int i = 0; i < count; i++) {
                nodes.add(world.add("i" + i, i % 3 == 0 ? OnceSimulation.NEAR : OnceSimulation.FAR));
            }
            world.updateAllViews();
            for (int step = 0; step < 400; step++) {
                world.runFor(random.nextLong(200));
                runRandomStep();
            }
            endFaults();
            world.runFor(15_000);
            // Partitions of bound groups are taken when they are first asked for.
            submitOnePerGroup("wake");
            world.runFor(5_000);
            List<ClaimDecision> last = submitOnePerGroup("last");
            assertThat(last.get(0)).isInstanceOf(ClaimDecision.Granted.class);
            assertThat(last.get(1)).isInstanceOf(ClaimDecision.Granted.class);
            // The owner of the group without a store may still be in its recovery window.
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
                            world.submit(nodes.get(0), key, HomeRegions.ANY),
                            world.submit(nodes.get(0), key + "-near", IN_NEAR),
                            world.submit(nodes.get(1), key + "-far", IN_FAR));
            world.runFor(5_000);
            return requests.stream().map(world.decisions::get).toList();
        }

        private void runRandomStep() {
            OnceNode node = nodes.get(random.nextInt(nodes.size()));
            switch (random.nextInt(80)) {
                case 0 -> restart(node);
                case 1 -> startPlannedStop(node);
                case 2, 3 -> pause(node, 9_000);
                case 4, 5, 6 -> separate(node);
                case 7, 8 -> world.updateView(node, nodes.get(random.nextInt(nodes.size())));
                case 9, 10, 11, 12, 13 -> world.updateView(node, null);
                case 14, 15, 16 -> world.apiFaults = faults(1);
                case 17 -> world.apiFaults = new OnceSimulation.Faults(1, 0, 0, 0);
                case 18, 19, 20 -> world.netFaults = faults(0.5);
                case 21, 22, 23, 24, 25, 26, 27 -> {
                    world.apiFaults = OnceSimulation.Faults.NONE;
                    world.netFaults = OnceSimulation.Faults.NONE;
                }
                default -> submit(node);
            }
        }

        private OnceSimulation.Faults faults(double most) {
            return new OnceSimulation.Faults(
                    random.nextDouble(0.3 * most),
                    random.nextDouble(0.3 * most),
                    random.nextDouble(0.5 * most),
                    random.nextLong(1, 1_500));
        }

        private void submit(OnceNode node) {
            if (node.paused) {
                return;
            }
            boolean bound = random.nextBoolean();
            boolean near = node.region.equals(OnceSimulation.NEAR);
            HomeRegions regions = !bound ? HomeRegions.ANY : near ? IN_NEAR : IN_FAR;
            world.submit(node, key() + regions.regions(), regions);
        }

        private String key() {
            long second = world.now / (1_000 * OnceSimulation.MILLI);
            boolean old = world.settings == LONG_RETENTION && random.nextInt(3) == 0;
            long age = old ? random.nextLong(1 + second) : random.nextInt(2);
            return "key" + (second - age) + "-" + random.nextInt(2);
        }

        /** Two nodes lose sight of each other, and one of them may be paused meanwhile. */
        private void separate(OnceNode node) {
            OnceNode other = nodes.get(random.nextInt(nodes.size()));
            long until = world.now + random.nextLong(22_000) * OnceSimulation.MILLI;
            world.updateView(other, node);
            node.viewFrozenUntilNanos = until;
            other.viewFrozenUntilNanos = until;
            if (node != other && random.nextInt(3) == 0) {
                pause(node, 18_000);
            }
        }

        private void restart(OnceNode node) {
            world.crash(node);
            world.schedule(
                    random.nextLong(4_000) * OnceSimulation.MILLI,
                    () -> {
                        if (!node.up) {
                            world.start(node);
                            world.updateAllViews();
                        }
                    });
        }

        private void pause(OnceNode node, long mostMillis) {
            node.paused = true;
            long process = node.incarnation;
            world.schedule(
                    random.nextLong(mostMillis) * OnceSimulation.MILLI,
                    () -> {
                        if (node.incarnation == process) {
                            world.resume(node);
                        }
                    });
        }

        private void startPlannedStop(OnceNode node) {
            if (node.up && !node.leaving) {
                world.startPlannedStop(node);
                world.updateAllViews();
                world.schedule(3_000 * OnceSimulation.MILLI, () -> restart(node));
            }
        }

        private void endFaults() {
            world.apiFaults = OnceSimulation.Faults.NONE;
            world.netFaults = OnceSimulation.Faults.NONE;
            world.runFor(24_000);
            nodes.forEach(
                    node -> {
                        world.resume(node);
                        if (!node.up) {
                            world.start(node);
                        }
                    });
            world.updateAllViews();
        }
    }
}
