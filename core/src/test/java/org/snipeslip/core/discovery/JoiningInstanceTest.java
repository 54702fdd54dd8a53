package org.snipeslip.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.call.VirtualTime;
import org.snipeslip.core.id.InstanceId;

/**
 * Guards against instances that use a part of a limit on the sum over all instances before the
 * others leave room for it: a cold server then gets more calls than it tolerates, or a service more
 * retries.
 */
class JoiningInstanceTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final int SERVERS = 4;
    private static final int MAX_OPEN = 4;
    private static final int MAX_ANNOUNCED = 2_048;
    private static final int CALLS = 11;
    private static final double RETRIES = 40;
    private static final double ROUNDING = 1e-9;
    private static final int SEEDS = Integer.getInteger("snipeslip.joinSeeds", 10);

    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store = new SimulatedStore(time);
    private final Map<String, SimulatedFollower> byAddress = new HashMap<>();
    private final List<SimulatedFollower> instances = new ArrayList<>();

    /** The parts of each process, also of those that are gone: their calls count for a second. */
    private final Map<DiscoveryEngine, Deque<Parts>> lastSecond = new HashMap<>();

    /** The case of the review: three instances join four, before these read the list again. */
    @ParameterizedTest
    @CsvSource({"4, 3", "1, 1", "15, 12", "16, 1", "60, 40"})
    void joiningInstancesNeverExceedTheSum(int before, int joining) {
        startTogether(before);
        play(10 * SECOND);
        startTogether(joining);
        play(5 * SECOND);
        assertThat(parts(0)).as("all are counted soon").isEqualTo(CALLS);
        play(40 * SECOND);
        assertThat(instances).allMatch(each -> each.announcements().mostOpen() <= MAX_OPEN);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void joiningInstanceWaitsForOneThatIsNotReached(boolean gone) {
        startTogether(4);
        play(10 * SECOND);
        if (gone) {
            instances.getFirst().powerOff();
        } else {
            instances.getFirst().cutFromPeers(20_000);
        }
        startTogether(1);
        play(20 * SECOND);
        assertThat(instances.getLast().share().counted()).isFalse();
        play(20 * SECOND);
        assertThat(instances.getLast().share().counted()).isTrue();
    }

    /** Guards against an instance that takes its own entry for one of an earlier process. */
    @Test
    void joiningInstanceWithoutFirstListWaitsForOthers() {
        startTogether(4);
        play(10 * SECOND);
        instances.getFirst().cutFromPeers(20_000);
        store.setDown(true);
        startTogether(1);
        play(SECOND / 2);
        store.setDown(false);
        play(15 * SECOND);
        assertThat(instances.getLast().share().counted()).isFalse();
        play(20 * SECOND);
        assertThat(instances.getLast().share().counted()).isTrue();
    }

    /** Guards against calls of a process that are sent again by the one that replaces it. */
    @ParameterizedTest
    @ValueSource(ints = {50, 500, 950})
    void restartedInstanceLeavesRoomForTheCallsOfTheEarlierProcess(int millisAway) {
        startTogether(4);
        play(10 * SECOND);
        for (SimulatedFollower instance : List.copyOf(instances)) {
            instance.kill();
            instance.start(millisAway);
            play(3 * SECOND);
            assertThat(instance.share().counted()).isTrue();
        }
    }

    /** Guards against a table that grows with each name that is announced. */
    @Test
    void announcedInstancesAreBounded() {
        startTogether(1);
        play(10 * SECOND);
        for (int i = 0; i < MAX_ANNOUNCED; i++) {
            assertThat(announce("other-" + i)).isTrue();
        }
        assertThat(announce("one-more")).isFalse();
        assertThat(announce("other-0")).as("known already").isTrue();
        assertThat(instances.getFirst().share().instances()).isEqualTo(MAX_ANNOUNCED + 1);
    }

    private boolean announce(String name) {
        return instances
                .getFirst()
                .process()
                .instanceAnnounced(
                        new DiscoveryRecord.Instance(new InstanceId(name), "ra", name + ":1"));
    }

    /** Guards against instances that are gone and hold up the announcements to others. */
    @Test
    void livingInstancesAreToldBesideManyThatAreGone() {
        startTogether(40);
        play(10 * SECOND);
        instances.stream().limit(30).forEach(SimulatedFollower::powerOff);
        startTogether(1);
        play(8 * SECOND);
        assertThat(instances.stream().skip(30).limit(10))
                .allMatch(each -> each.share().instances() == 41);
    }

    /** Guards against a loss of power everywhere that leaves cold servers without any call. */
    @Test
    void restartedInstancesDoNotWaitForOneThatIsGone() {
        startTogether(16);
        play(10 * SECOND);
        instances.forEach(SimulatedFollower::powerOff);
        play(SECOND);
        instances.stream().skip(1).forEach(each -> each.start(0));
        play(2 * SECOND);
        assertThat(instances.stream().skip(1)).allMatch(each -> each.share().counted());
        play(40 * SECOND);
        int sent = announcements();
        play(20 * SECOND);
        assertThat(announcements()).as("announcements when all is told").isEqualTo(sent);
    }

    private int announcements() {
        return instances.stream().mapToInt(each -> each.announcements().sent()).sum();
    }

    @Test
    void instanceThatKnowsNoListHasNoPart() {
        startTogether(4);
        play(10 * SECOND);
        SimulatedFollower restarted = instances.getFirst();
        restarted.kill();
        store.setDown(true);
        restarted.start(0);
        play(20 * SECOND);
        assertThat(restarted.share().counted()).isFalse();
        store.setDown(false);
        play(4 * SECOND);
        assertThat(restarted.share().counted()).isTrue();
    }

    @Test
    void neverExceedsTheSumUnderFaults() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new JoiningInstanceTest().playFaults(seed);
        }
    }

    /** Instances join, restart, freeze and lose links, in series that overlap. */
    private void playFaults(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        startTogether(1 + random.nextInt(20));
        play(5 * SECOND);
        for (int i = 0; i < 25; i++) {
            SimulatedFollower any = instances.get(random.nextInt(instances.size()));
            switch (random.nextInt(6)) {
                case 0, 1 -> startTogether(1 + random.nextInt(3));
                case 2 -> {
                    any.kill();
                    any.start(500 + random.nextInt(2_000));
                }
                case 3 -> any.freeze(random.nextInt(3_000));
                case 4 -> any.cutFromPeers(random.nextInt(6_000));
                default -> any.cutFromStore(random.nextInt(6_000));
            }
            play(random.nextInt(2_500) * MILLI);
        }
        play(40 * SECOND);
        for (int server = 0; server < SERVERS; server++) {
            assertThat(parts(server)).as("seed %d, at the end", seed).isEqualTo(CALLS);
        }
    }

    private void startTogether(int count) {
        for (int i = 0; i < count; i++) {
            SimulatedFollower instance =
                    new SimulatedFollower(
                            "front-" + instances.size(),
                            time,
                            store,
                            byAddress,
                            true,
                            new HashSet<>(),
                            new ArrayList<>());
            instances.add(instance);
            instance.start((double) i % 300);
        }
    }

    private void play(long nanos) {
        long end = time.nowNanos() + nanos;
        while (time.nowNanos() < end) {
            time.runFor(10 * MILLI);
            for (SimulatedFollower instance : instances) {
                DiscoveryEngine process = instance.process();
                if (process != null) {
                    Deque<Parts> recent =
                            lastSecond.computeIfAbsent(process, each -> new ArrayDeque<>());
                    recent.add(Parts.of(process.share(), recent.peekLast(), time.nowNanos()));
                }
            }
            for (Deque<Parts> recent : lastSecond.values()) {
                recent.removeIf(each -> time.nowNanos() - each.atNanos > SECOND);
            }
            lastSecond.values().removeIf(Deque::isEmpty);
            assertThat(retries()).as("retries").isLessThanOrEqualTo(RETRIES + ROUNDING);
            for (int server = 0; server < SERVERS; server++) {
                assertThat(most(server))
                        .as("calls to server %d in the second before %d", server, time.nowNanos())
                        .isLessThanOrEqualTo(CALLS);
            }
        }
    }

    /** Returns the sum of what each instance may have sent to a server in the last second. */
    private int most(int server) {
        return lastSecond.values().stream()
                .mapToInt(
                        recent -> recent.stream().mapToInt(each -> each.of[server]).max().orElse(0))
                .sum();
    }

    /** Returns the sum of the retries that each instance may have saved up in the last second. */
    private double retries() {
        return lastSecond.values().stream()
                .mapToDouble(recent -> recent.stream().mapToDouble(Parts::retries).max().orElse(0))
                .sum();
    }

    /** Returns the sum of the parts that all have now. */
    private int parts(int server) {
        return lastSecond.values().stream().mapToInt(each -> each.getLast().of[server]).sum();
    }

    /** The parts of one instance in the calls to each server. */
    private record Parts(long atNanos, InstanceShare share, int[] of) {
        double retries() {
            return share == null ? 0 : share.evenPart(RETRIES);
        }

        static Parts of(InstanceShare share, Parts last, long nowNanos) {
            if (last != null && last.share == share) {
                return new Parts(nowNanos, share, last.of);
            }
            int[] parts = new int[SERVERS];
            for (int server = 0; server < SERVERS && share != null; server++) {
                parts[server] = share.ownPart(CALLS, "server-" + server);
            }
            return new Parts(nowNanos, share, parts);
        }
    }
}
