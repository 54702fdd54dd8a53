package org.snipeslip.core.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipeslip.core.peer.MemberStatus.LEAVING;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.store.StoreSettings;

/**
 * Simulates several instances under faults and checks configuration distribution, membership and
 * the limits on object API calls.
 */
class ControlModelTest {
    /** Specified limit: an accepted configuration is in force everywhere within 3 s. */
    private static final long DISTRIBUTION_LIMIT_MILLIS = 3_000;

    /** Time after which past faults must not be visible in the member tables any more. */
    private static final long SETTLE_MILLIS = 60_000;

    /**
     * Time in which the gossip of one ping per second must distribute a configuration. It is less
     * than half the poll interval, so that polls cannot make a test pass.
     */
    private static final long REPAIR_MILLIS = 10_000;

    private static final int REGIONS = 3;

    /** Guards against an instance that misses a new configuration or returns to an older one. */
    @Property(tries = 60, seed = "20261204")
    void distributesConfigWithinThreeSecondsAfterFaults(@ForAll long seed) {
        SimulatedCluster cluster = startedCluster(seed);
        long generation = injectFaults(cluster, 12);
        cluster.clearFaults();
        cluster.live().forEach(node -> node.pause(0));
        cluster.time.run(SETTLE_MILLIS);
        checkMembers(cluster);
        publish(cluster, ++generation);
        cluster.time.run(DISTRIBUTION_LIMIT_MILLIS);
        checkGeneration(cluster, generation);
    }

    /**
     * Guards against slow distribution after an outage of the object API, also if a watcher of each
     * region fails at the same time.
     */
    @Property(tries = 60, seed = "20261205")
    void distributesConfigWithinThreeSecondsAfterStoreOutage(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int modeNumber,
            @ForAll @IntRange(min = 1, max = 600) int outageSeconds,
            @ForAll boolean loseWatchers) {
        SimulatedCluster cluster = startedCluster(seed);
        cluster.store.mode = SimulatedStore.Mode.values()[modeNumber];
        cluster.store.breakWatches();
        cluster.time.run(outageSeconds * 1_000L);
        cluster.store.mode = SimulatedStore.Mode.UP;
        if (loseWatchers) {
            for (int region = 0; region < REGIONS; region++) {
                String name = "r" + region;
                cluster.live().stream()
                        .filter(n -> n.region.equals(name) && n.instance.control().isWatcher())
                        .findFirst()
                        .ifPresent(SimulatedCluster.Node::stop);
            }
        }
        publish(cluster, 2);
        cluster.time.run(DISTRIBUTION_LIMIT_MILLIS);
        checkGeneration(cluster, 2);
    }

    /** Guards against slow distribution when messages are lost or duplicated. */
    @Property(tries = 40, seed = "20261206")
    void distributesConfigWithinThreeSecondsDespiteMessageLoss(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 30) int lossPercent) {
        SimulatedCluster cluster = startedCluster(seed);
        cluster.lossPercent = lossPercent;
        cluster.duplicatePercent = lossPercent;
        cluster.time.run(30_000);
        publish(cluster, 2);
        cluster.time.run(DISTRIBUTION_LIMIT_MILLIS);
        checkGeneration(cluster, 2);
    }

    /** Guards against a tight loop of object API calls while there is no usable configuration. */
    @Property(tries = 20, seed = "20261210")
    void limitsStoreCallsWithoutUsableConfig(@ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, REGIONS, 4);
        cluster.start();
        cluster.time.run(20_000);
        checkStoreCallsOfOneMinute(cluster);
        cluster.store.publish(1, List.of("g1", TextCodec.UNDECODABLE));
        checkStoreCallsOfOneMinute(cluster);
        checkGeneration(cluster, 0);
        publish(cluster, 2);
        cluster.time.run(DISTRIBUTION_LIMIT_MILLIS);
        checkGeneration(cluster, 2);
    }

    /**
     * Checks that there is less than one call per second and instance. A watch ends after 1.5 s,
     * and other reads are made every 30 s.
     */
    private static void checkStoreCallsOfOneMinute(SimulatedCluster cluster) {
        long before = cluster.store.calls;
        cluster.time.run(60_000);
        assertThat(cluster.store.calls - before).isLessThan(60L * cluster.nodes.size());
    }

    /**
     * Guards against an instance that has no configuration after a restart during an outage of the
     * object API, and against messages that are too large when peers send it.
     */
    @Property(tries = 20, seed = "20261211")
    void loadsConfigFromPeersWhileObjectApiIsDown(@ForAll long seed, @ForAll boolean isSilent) {
        SimulatedCluster cluster = new SimulatedCluster(seed, REGIONS, 4);
        List<String> parts = new ArrayList<>(List.of("g1"));
        for (int i = 0; i < 300; i++) {
            parts.add(("part" + i + ".").repeat(1_000));
        }
        cluster.store.publish(1, parts);
        cluster.start();
        cluster.time.run(40_000);
        checkGeneration(cluster, 1);
        cluster.store.mode = isSilent ? SimulatedStore.Mode.SILENT : SimulatedStore.Mode.REFUSING;
        cluster.store.breakWatches();
        SimulatedCluster.Node node =
                cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
        node.stop();
        cluster.time.run(cluster.random.nextInt(30_000));
        node.start();
        cluster.time.run(REPAIR_MILLIS);
        checkGeneration(cluster, 1);
    }

    /**
     * Guards against a planned stop that is not announced: other instances would still assign
     * ownership to the stopping instance, and it would remain a watcher.
     */
    @Property(tries = 20, seed = "20261212")
    void announcesPlannedStopWithinThreeSeconds(@ForAll long seed) {
        SimulatedCluster cluster = startedCluster(seed);
        SimulatedCluster.Node leaving =
                cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
        leaving.handle(new Event.StopRequested());
        cluster.time.run(DISTRIBUTION_LIMIT_MILLIS);
        for (SimulatedCluster.Node node : cluster.live()) {
            assertThat(node.statusOf(leaving)).as("seen by " + node.id).isEqualTo(LEAVING);
        }
        assertThat(leaving.instance.control().isWatcher()).isFalse();
        for (int region = 0; region < REGIONS; region++) {
            String name = "r" + region;
            assertThat(cluster.live())
                    .filteredOn(n -> n.region.equals(name) && n.instance.control().isWatcher())
                    .hasSize(2);
        }
    }

    /** Guards against a start with many parts that exceeds low limits on object API calls. */
    @Property(tries = 10, seed = "20261213")
    void staysWithinSmallStoreBudgetAtStart(@ForAll long seed) {
        StoreSettings budget = new StoreSettings(5, 5, 3, 32, 5_000, 50, 1_500, 500);
        ControlSettings defaults = ControlSettings.DEFAULT;
        ControlSettings limited =
                new ControlSettings(
                        defaults.watchWaitMillis(),
                        defaults.watchSlackMillis(),
                        defaults.pollIntervalMillis(),
                        defaults.retryDelayMillis(),
                        defaults.fetchTimeoutMillis(),
                        defaults.readsInFlight(),
                        defaults.watchersPerRegion(),
                        defaults.membership(),
                        budget,
                        List.of());
        SimulatedCluster cluster = new SimulatedCluster(seed, REGIONS, 2, limited);
        publish(cluster, 1);
        cluster.start();
        cluster.time.run(SETTLE_MILLIS);
        checkGeneration(cluster, 1);
    }

    /** Guards against gossip that does not distribute a generation when announcements are lost. */
    @Property(tries = 20, seed = "20261209")
    void gossipCompensatesForLostAnnouncements(@ForAll long seed) {
        SimulatedCluster cluster = startedCluster(seed);
        cluster.dropsAnnouncements = true;
        publish(cluster, 2);
        cluster.time.run(REPAIR_MILLIS);
        checkGeneration(cluster, 2);
    }

    /** Guards against failed instances that remain in a view, and live ones that are missing. */
    @Property(tries = 40, seed = "20261207")
    void removesDeadMembersAndRediscoversRestartedOnes(
            @ForAll long seed, @ForAll boolean isListEmpty) {
        SimulatedCluster cluster = startedCluster(seed);
        List<SimulatedCluster.Node> stopped = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SimulatedCluster.Node node =
                    cluster.live().get(cluster.random.nextInt(cluster.live().size()));
            node.stop();
            stopped.add(node);
            cluster.time.run(cluster.random.nextInt(5_000));
        }
        cluster.time.run(SETTLE_MILLIS);
        checkMembers(cluster);
        if (isListEmpty) {
            cluster.store.instances.clear();
        }
        cluster.isolatedRegions.add("r1");
        cluster.time.run(3 * SETTLE_MILLIS);
        cluster.isolatedRegions.clear();
        stopped.getFirst().start();
        cluster.time.run(SETTLE_MILLIS);
        checkMembers(cluster);
    }

    private static SimulatedCluster startedCluster(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, REGIONS, 4);
        publish(cluster, 1);
        cluster.start();
        cluster.time.run(20_000);
        checkMembers(cluster);
        checkGeneration(cluster, 1);
        return cluster;
    }

    /**
     * Injects random faults, each for a random time, publishes generations between them, and
     * returns the last generation.
     */
    private static long injectFaults(SimulatedCluster cluster, int steps) {
        Random random = cluster.random;
        long generation = 1;
        for (int i = 0; i < steps; i++) {
            SimulatedCluster.Node node = cluster.nodes.get(random.nextInt(cluster.nodes.size()));
            switch (random.nextInt(9)) {
                case 0 -> cluster.lossPercent = random.nextInt(60);
                case 1 -> cluster.duplicatePercent = random.nextInt(60);
                case 2 -> cluster.maxDelayMillis = 1 + random.nextInt(4_000);
                case 3 -> cluster.isolatedRegions.add("r" + random.nextInt(REGIONS));
                case 4 -> cluster.isolatedRegions.clear();
                case 5 -> node.pause(random.nextInt(15_000));
                case 6 -> node.stop();
                case 7 -> node.start();
                default -> {
                    SimulatedStore.Mode[] modes = SimulatedStore.Mode.values();
                    cluster.store.mode = modes[random.nextInt(modes.length)];
                }
            }
            if (random.nextBoolean()) {
                publish(cluster, ++generation);
            }
            cluster.time.run(random.nextInt(10_000));
        }
        if (cluster.live().size() < 2) {
            cluster.nodes.forEach(SimulatedCluster.Node::start);
        }
        return generation;
    }

    private static void publish(SimulatedCluster cluster, long generation) {
        List<String> parts = new ArrayList<>(List.of("g" + generation));
        for (int i = 0; i < 20; i++) {
            parts.add("part" + i + "of" + (i == 0 ? generation : 0));
        }
        cluster.store.publish(generation, parts);
    }

    private static void checkGeneration(SimulatedCluster cluster, long generation) {
        for (SimulatedCluster.Node node : cluster.live()) {
            assertThat(node.generation()).as("generation of " + node.id).isEqualTo(generation);
        }
    }

    private static void checkMembers(SimulatedCluster cluster) {
        for (SimulatedCluster.Node node : cluster.live()) {
            for (SimulatedCluster.Node other : cluster.nodes) {
                assertThat(node.statusOf(other))
                        .as(other.id + " seen by " + node.id)
                        .isEqualTo(other.up ? MemberStatus.ALIVE : MemberStatus.DEAD);
                if (other.up) {
                    assertThat(node.incarnationOf(other))
                            .as("incarnation of " + other.id + " seen by " + node.id)
                            .isEqualTo(other.incarnationOf(other));
                }
            }
        }
    }
}
