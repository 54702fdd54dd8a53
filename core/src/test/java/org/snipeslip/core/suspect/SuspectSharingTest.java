package org.snipeslip.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

class SuspectSharingTest {
    private static final RequestDigest DEADLY = new RequestDigest(1, 1);
    private static final RequestDigest POPULAR = new RequestDigest(2, 2);
    private static final long SECOND = SimulatedSuspects.SECOND;
    private static final int MAX_LATE_RUNS = 3;
    private static final int SEEDS = Integer.getInteger("snipeslip.suspectSeeds", 40);

    /** What happens to instances while the request comes. */
    private enum Trouble {
        NONE,
        RESTARTS,
        FREEZES,
        CUTS
    }

    /** Guards against a request that goes on crashing servers at instances that nobody told. */
    @ParameterizedTest
    @CsvSource({
        "3, NONE",
        "3, RESTARTS",
        "16, NONE",
        "16, RESTARTS",
        "16, FREEZES",
        "16, CUTS",
        "153, NONE",
        "153, RESTARTS",
        "153, CUTS"
    })
    void sendsDeadlyRequestAtMostThreeTimesAfterItIsKnown(int instances, Trouble trouble) {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedSuspects fleet = new SimulatedSuspects(instances, seed);
            List<Long> runs = new ArrayList<>();
            List<Long> lateRuns = new ArrayList<>();
            for (long t = 5 * SECOND; t < 25 * SECOND; t += gapNanos(fleet)) {
                fleet.at(t, () -> callDeadly(fleet, runs, lateRuns));
            }
            for (long t = 2 * SECOND; t < 25 * SECOND; t += 2 * gapNanos(fleet)) {
                fleet.at(t, () -> trouble(fleet, trouble));
            }
            fleet.runUntil(30 * SECOND);
            assertThat(lateRuns)
                    .describedAs("seed %s, runs %s", seed, runs)
                    .hasSizeLessThanOrEqualTo(MAX_LATE_RUNS);
        }
    }

    /**
     * Guards against a popular request that is refused because it is in flight whenever servers
     * crash.
     */
    @ParameterizedTest
    @CsvSource({"3", "16", "153"})
    void popularRequestIsNotRefusedWhileServersCrash(int instances) {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedSuspects fleet = new SimulatedSuspects(instances, seed);
            List<Long> refused = new ArrayList<>();
            for (long t = SECOND; t < 20 * SECOND; t += SECOND / 10) {
                long crash = t % SECOND == 0 ? 6 : 0;
                for (int i = 0; i < 8; i++) {
                    boolean crashes = i < crash;
                    fleet.at(
                            t,
                            () -> {
                                if (!fleet.randomNode().call(POPULAR, crashes)) {
                                    refused.add(fleet.nowNanos);
                                }
                            });
                }
            }
            fleet.runUntil(25 * SECOND);
            assertThat(refused).describedAs("seed %s", seed).isEmpty();
        }
    }

    /** Guards against a digest that leaves the home regions of its request. */
    @ParameterizedTest
    @EnumSource(Home.class)
    void tellsOnlyInstancesOfHomeRegions(Home home) {
        SuspectTable table = new SuspectTable(1);
        RegionId own = new RegionId("home");
        SuspectSharing sharing = new SuspectSharing(new InstanceId("a"), own, table, 1);
        sharing.setPeers(
                List.of(
                        new SuspectPeer("b", own, "b:1"),
                        new SuspectPeer("c", new RegionId("away"), "c:1"),
                        new SuspectPeer("d", new RegionId("away"), "d:1")));
        Set<RegionId> regions = home == Home.BOUND ? Set.of(own) : Set.of();
        Outbox outbox = new Outbox();
        for (int level = 1; level <= Suspicion.REFUSED_LEVEL; level++) {
            Suspicion suspicion = table.crashed(DEADLY, regions, 0, level, 0);
            SuspectChange change =
                    new SuspectChange(suspicion, SuspectChange.Source.CRASH, null, null);
            sharing.share(change, 0, outbox);
        }
        for (Action action : outbox.actions()) {
            if (action instanceof Action.SendSuspectMessage sent) {
                boolean away = !sent.address().equals("b:1");
                boolean identifies = !(sent.message() instanceof SuspectMessage.Alert);
                assertThat(identifies).isEqualTo(home == Home.ANY || !away);
            }
        }
        boolean known = !table.tellable(new RegionId("away")).isEmpty();
        assertThat(known).isEqualTo(home == Home.ANY);
        assertThat(table.alertsFor(new RegionId("away")))
                .isEqualTo(home == Home.ANY ? List.of() : List.of(regions));
        Suspicion foreign =
                new Suspicion(POPULAR, 0, Suspicion.REFUSED_LEVEL, Set.of(new RegionId("away")));
        sharing.received(new SuspectMessage.Notice(foreign), 0, outbox);
        assertThat(table.find(POPULAR)).isNull();
    }

    /** Guards against a request that was cleared once and of whose later crashes nobody is told. */
    @Test
    void tellsOfCrashesAgainAfterASuccess() {
        RegionId region = new RegionId("r");
        SuspectTable table = new SuspectTable(1);
        SuspectSharing sharing = new SuspectSharing(new InstanceId("a"), region, table, 1);
        sharing.setPeers(List.of(new SuspectPeer("b", region, "b:1")));
        for (long epoch = 0; epoch < 3; epoch++) {
            Outbox outbox = new Outbox();
            Suspicion first = new Suspicion(DEADLY, epoch, 1, Set.of());
            sharing.received(new SuspectMessage.Report(first, "s1"), 0, outbox);
            sharing.received(new SuspectMessage.Report(first, "s2"), 0, outbox);
            assertThat(notices(outbox)).containsExactly(first);
            Outbox cleared = new Outbox();
            Suspicion end = new Suspicion(DEADLY, epoch + 1, 0, Set.of());
            sharing.received(new SuspectMessage.Report(end, ""), 0, cleared);
            assertThat(notices(cleared)).containsExactly(end);
        }
    }

    private static List<Suspicion> notices(Outbox outbox) {
        return outbox.actions().stream()
                .filter(Action.SendSuspectMessage.class::isInstance)
                .map(action -> ((Action.SendSuspectMessage) action).message())
                .filter(SuspectMessage.Notice.class::isInstance)
                .map(message -> ((SuspectMessage.Notice) message).suspicion())
                .toList();
    }

    private static long gapNanos(SimulatedSuspects fleet) {
        return (50 + fleet.random.nextInt(900)) * SimulatedSuspects.MILLI;
    }

    private static void callDeadly(SimulatedSuspects fleet, List<Long> runs, List<Long> lateRuns) {
        SimulatedSuspects.Node node = fleet.randomNode();
        if (!node.takesCalls() || !node.call(DEADLY, true)) {
            return;
        }
        runs.add(fleet.nowNanos / SimulatedSuspects.MILLI);
        long contactMillis = SimulatedSuspects.CONTACT_NANOS / SimulatedSuspects.MILLI;
        boolean late = runs.size() > 3 && runs.getLast() > runs.get(2) + 100 + contactMillis;
        if (late && node.isInTouch()) {
            lateRuns.add(runs.getLast());
        }
    }

    private static void trouble(SimulatedSuspects fleet, Trouble trouble) {
        long nanos = SECOND + fleet.random.nextInt(4) * SECOND;
        switch (trouble) {
            case NONE -> {
                // A calm day.
            }
            case RESTARTS -> fleet.randomNode().restart();
            case FREEZES -> fleet.randomNode().freezeFor(nanos);
            case CUTS -> fleet.randomNode().cutFor(nanos);
            default -> throw new IllegalArgumentException("unexpected trouble " + trouble);
        }
    }

    /** Whether the request has home regions. */
    private enum Home {
        BOUND,
        ANY
    }
}
