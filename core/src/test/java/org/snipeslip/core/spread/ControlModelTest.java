package org.snipeslip.core.spread;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.snipeslip.core.peer.MemberStatus;

/** Model of several instances under faults: configuration spread, membership and call budget. */
class ControlModelTest {
    /** Stated target: an accepted configuration is active everywhere within 3 s. */
    private static final long SPREAD_MILLIS = 3_000;

    /** Time in which every fault of the past must be out of the member tables. */
    private static final long SETTLE_MILLIS = 60_000;

    /** Time for repair by gossip of one ping a second; less than half the poll interval. */
    private static final long REPAIR_MILLIS = 10_000;

    private static final int REGIONS = 3;

    /** Guards against an instance that misses a new configuration or falls back to an older one. */
    @Property(tries = 60, seed = "20261204")
    void spreadsWithinThreeSecondsAfterFaults(@ForAll long seed) {
        ControlWorld world = started(seed);
        long generation = faults(world, 12);
        world.heal();
        world.live().forEach(node -> node.pause(0));
        world.time.run(SETTLE_MILLIS);
        checkMembers(world);
        publish(world, ++generation);
        world.time.run(SPREAD_MILLIS);
        checkGeneration(world, generation);
    }

    /** Guards against a slow start after an outage, with a watcher of each region lost. */
    @Property(tries = 60, seed = "20261205")
    void spreadsWithinThreeSecondsAfterAnOutage(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int modeNumber,
            @ForAll @IntRange(min = 1, max = 600) int outageSeconds,
            @ForAll boolean loseWatchers) {
        ControlWorld world = started(seed);
        world.store.mode = FakeStore.Mode.values()[modeNumber];
        world.store.breakWatches();
        world.time.run(outageSeconds * 1_000L);
        world.store.mode = FakeStore.Mode.UP;
        if (loseWatchers) {
            for (int region = 0; region < REGIONS; region++) {
                String name = "r" + region;
                world.live().stream()
                        .filter(n -> n.region.equals(name) && n.instance.control().isWatcher())
                        .findFirst()
                        .ifPresent(ControlWorld.Node::stop);
            }
        }
        publish(world, 2);
        world.time.run(SPREAD_MILLIS);
        checkGeneration(world, 2);
    }

    /** Guards against a lossy network that holds the newest configuration back. */
    @Property(tries = 40, seed = "20261206")
    void spreadsWithinThreeSecondsDespiteLoss(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 30) int lossPercent) {
        ControlWorld world = started(seed);
        world.lossPercent = lossPercent;
        world.twicePercent = lossPercent;
        world.time.run(30_000);
        publish(world, 2);
        world.time.run(SPREAD_MILLIS);
        checkGeneration(world, 2);
    }

    /** Guards against instances that call in a loop while there is no usable configuration. */
    @Property(tries = 20, seed = "20261210")
    void callsRarelyWithoutAUsableConfiguration(@ForAll long seed) {
        ControlWorld world = new ControlWorld(seed, REGIONS, 4);
        world.start();
        world.time.run(20_000);
        checkCallsOfAMinute(world);
        world.store.publish(1, List.of("g1", TextCodec.UNDECODABLE));
        checkCallsOfAMinute(world);
        checkGeneration(world, 0);
        publish(world, 2);
        world.time.run(SPREAD_MILLIS);
        checkGeneration(world, 2);
    }

    /** A watch every 1.5 s, other reads every 30 s: below one call a second and instance. */
    private static void checkCallsOfAMinute(ControlWorld world) {
        long before = world.store.calls;
        world.time.run(60_000);
        assertThat(world.store.calls - before).isLessThan(60L * world.nodes.size());
    }

    /** Guards against a new instance that stays empty, or messages too large, in an outage. */
    @Property(tries = 20, seed = "20261211")
    void startsFromPeersWhileTheObjectApiIsDown(@ForAll long seed, @ForAll boolean isSilent) {
        ControlWorld world = new ControlWorld(seed, REGIONS, 4);
        List<String> parts = new ArrayList<>(List.of("g1"));
        for (int i = 0; i < 300; i++) {
            parts.add(("part" + i + ".").repeat(1_000));
        }
        world.store.publish(1, parts);
        world.start();
        world.time.run(40_000);
        checkGeneration(world, 1);
        world.store.mode = isSilent ? FakeStore.Mode.SILENT : FakeStore.Mode.REFUSING;
        world.store.breakWatches();
        ControlWorld.Node node = world.nodes.get(world.random.nextInt(world.nodes.size()));
        node.stop();
        world.time.run(world.random.nextInt(30_000));
        node.start();
        world.time.run(REPAIR_MILLIS);
        checkGeneration(world, 1);
    }

    /** Guards against instances that learn a generation by announcements or polls only. */
    @Property(tries = 20, seed = "20261209")
    void gossipRepairsLostAnnouncements(@ForAll long seed) {
        ControlWorld world = started(seed);
        world.losesAnnouncements = true;
        publish(world, 2);
        world.time.run(REPAIR_MILLIS);
        checkGeneration(world, 2);
    }

    /** Guards against a dead instance that stays in a view and a live one that stays out of it. */
    @Property(tries = 40, seed = "20261207")
    void dropsTheDeadAndFindsTheLiving(@ForAll long seed, @ForAll boolean isListEmpty) {
        ControlWorld world = started(seed);
        List<ControlWorld.Node> lost = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ControlWorld.Node node = world.live().get(world.random.nextInt(world.live().size()));
            node.stop();
            lost.add(node);
            world.time.run(world.random.nextInt(5_000));
        }
        world.time.run(SETTLE_MILLIS);
        checkMembers(world);
        if (isListEmpty) {
            world.store.instances.clear();
        }
        world.cutRegions.add("r1");
        world.time.run(3 * SETTLE_MILLIS);
        world.cutRegions.clear();
        lost.getFirst().start();
        world.time.run(SETTLE_MILLIS);
        checkMembers(world);
    }

    private static ControlWorld started(long seed) {
        ControlWorld world = new ControlWorld(seed, REGIONS, 4);
        publish(world, 1);
        world.start();
        world.time.run(20_000);
        checkMembers(world);
        checkGeneration(world, 1);
        return world;
    }

    /** Applies random faults, each for a random time, and publishes between them. */
    private static long faults(ControlWorld world, int steps) {
        Random random = world.random;
        long generation = 1;
        for (int i = 0; i < steps; i++) {
            ControlWorld.Node node = world.nodes.get(random.nextInt(world.nodes.size()));
            switch (random.nextInt(9)) {
                case 0 -> world.lossPercent = random.nextInt(60);
                case 1 -> world.twicePercent = random.nextInt(60);
                case 2 -> world.maxDelayMillis = 1 + random.nextInt(4_000);
                case 3 -> world.cutRegions.add("r" + random.nextInt(REGIONS));
                case 4 -> world.cutRegions.clear();
                case 5 -> node.pause(random.nextInt(15_000));
                case 6 -> node.stop();
                case 7 -> node.start();
                default -> {
                    FakeStore.Mode[] modes = FakeStore.Mode.values();
                    world.store.mode = modes[random.nextInt(modes.length)];
                }
            }
            if (random.nextBoolean()) {
                publish(world, ++generation);
            }
            world.time.run(random.nextInt(10_000));
        }
        if (world.live().size() < 2) {
            world.nodes.forEach(ControlWorld.Node::start);
        }
        return generation;
    }

    private static void publish(ControlWorld world, long generation) {
        List<String> parts = new ArrayList<>(List.of("g" + generation));
        for (int i = 0; i < 20; i++) {
            parts.add("part" + i + "of" + (i == 0 ? generation : 0));
        }
        world.store.publish(generation, parts);
    }

    private static void checkGeneration(ControlWorld world, long generation) {
        for (ControlWorld.Node node : world.live()) {
            assertThat(node.generation()).as("generation of " + node.id).isEqualTo(generation);
        }
    }

    private static void checkMembers(ControlWorld world) {
        for (ControlWorld.Node node : world.live()) {
            for (ControlWorld.Node other : world.nodes) {
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
