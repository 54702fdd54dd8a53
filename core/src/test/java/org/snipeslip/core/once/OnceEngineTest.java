package org.snipeslip.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.routing.HomeRegions;

/** Single situations of the at-most-once engine, in virtual time. */
class OnceEngineTest {
    private static final OnceSimulation.Faults API_DOWN = new OnceSimulation.Faults(1, 0, 0, 0);

    /** Ten minutes on a clock that is up to 1% slow, and a second for the record to be made. */
    private static final long RETENTION_MILLIS = 600_000 * 102 / 100;

    private static final int SEGMENT_BYTES = 65_536;

    private static final HomeRegions IN_NEAR = new HomeRegions(true, Set.of(OnceSimulation.NEAR));
    private static final HomeRegions IN_FAR = new HomeRegions(true, Set.of(OnceSimulation.FAR));

    /** Guards against "not run" from an instance that knows nothing of earlier submissions. */
    @Test
    void refusesWithUnknownOutcomeBeforeTheFirstMemberView() {
        OnceSimulation world = new OnceSimulation(1, settings(1_000, 256, SEGMENT_BYTES));
        RequestId call = world.submit(world.add("a", OnceSimulation.NEAR), "k", HomeRegions.ANY);
        assertRefused(world, call, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    /** Guards against an idle partition that waits for a batch. */
    @Test
    void grantsAClaimToAnIdlePartitionAfterOneRoundTrip() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        RequestId call = world.submit(firstNode(world), "k", HomeRegions.ANY);
        world.runFor(8);
        assertThat(world.decisions.get(call)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /** Guards against a false "not run" once another owner may have taken over. */
    @Test
    void refusesNewKeysAsNotRunOnlyWithinTheLease() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        RequestId answered = grantedAndAnswered(world, firstNode(world), "old", HomeRegions.ANY);
        world.apiFaults = API_DOWN;
        RequestId early = world.submit(firstNode(world), "new1", HomeRegions.ANY);
        world.runFor(1_500);
        assertRefused(world, early, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
        world.runFor(6_000);
        RequestId late = world.submit(firstNode(world), "new2", HomeRegions.ANY);
        RequestId duplicate = world.submit(firstNode(world), "old", HomeRegions.ANY);
        world.runFor(1_500);
        assertRefused(world, late, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        assertReplayOf(world, duplicate, answered);
        world.runFor(120_000);
        world.apiFaults = OnceSimulation.Faults.NONE;
        world.runFor(10_000);
        RequestId after = world.submit(firstNode(world), "old", HomeRegions.ANY);
        world.runFor(100);
        assertReplayOf(world, after, answered);
    }

    /** Guards against records dropped before their time when the table is full. */
    @Test
    void refusesNewKeysAsNotRunWhenFull() {
        OnceSimulation world = world(settings(2, 256, SEGMENT_BYTES));
        RequestId answered = grantedAndAnswered(world, firstNode(world), "k1", HomeRegions.ANY);
        grantedAndAnswered(world, firstNode(world), "k2", HomeRegions.ANY);
        RequestId third = world.submit(firstNode(world), "k3", HomeRegions.ANY);
        RequestId duplicate = world.submit(firstNode(world), "k1", HomeRegions.ANY);
        world.runFor(100);
        assertRefused(world, third, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
        assertReplayOf(world, duplicate, answered);
        world.runFor(RETENTION_MILLIS);
        RequestId later = world.submit(firstNode(world), "k3", HomeRegions.ANY);
        world.runFor(100);
        assertThat(world.decisions.get(later)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /** Guards against idle owners that use up the writes of the object API. */
    @Test
    void idlePartitionsAppendEightTimesPerSecondInTotal() {
        OnceSimulation world = world(OnceSettings.DEFAULT);
        long before = world.oracle.creates;
        world.runFor(60_000);
        assertThat(world.oracle.creates - before).isBetween(60L * 6, 60L * 8 + 32);
    }

    /** Guards against a log that grows without end. */
    @ParameterizedTest
    @ValueSource(ints = {10, 256})
    void checkpointsBoundTheLogSize(int checkpointSegments) {
        OnceSimulation world = world(settings(1_000, checkpointSegments, SEGMENT_BYTES));
        for (int i = 0; i < 300; i++) {
            grantedAndAnswered(world, firstNode(world), "k" + i, HomeRegions.ANY);
        }
        // 8 writes per second for the deletion delay of 120 s, and two checkpoint intervals.
        assertThat(world.api.objects.size()).isLessThan(960 + 2 * checkpointSegments);
        world.runFor(300_000);
        // An idle owner appends once in 4 s, and a checkpoint of these records takes 2 segments.
        assertThat(world.api.objects.size()).isLessThan(60 + 2 * checkpointSegments);
    }

    /** Guards against a checkpoint of several segments that ends before every record is in it. */
    @ParameterizedTest
    @ValueSource(ints = {600, 4_096, SEGMENT_BYTES})
    void checkpointsKeepEveryRecord(int segmentBytes) {
        OnceSimulation world = world(settings(1_000, 10, segmentBytes));
        List<RequestId> answered = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            answered.add(grantedAndAnswered(world, firstNode(world), "k" + i, HomeRegions.ANY));
        }
        world.runFor(200_000);
        world.crash(firstNode(world));
        world.start(firstNode(world));
        world.updateAllViews();
        world.runFor(10_000);
        assertReplays(world, firstNode(world), HomeRegions.ANY, answered);
    }

    /** Guards against a grant that takes effect after the caller was told that it failed. */
    @Test
    void lateGrantIsIgnoredAndReleasesTheKey() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        OnceNode asker = world.add("b", OnceSimulation.NEAR);
        world.updateView(asker, null);
        RequestId late = world.submit(asker, "k", HomeRegions.ANY);
        asker.paused = true;
        world.runFor(3_000);
        world.resume(asker);
        world.runFor(100);
        assertRefused(world, late, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        RequestId again = world.submit(firstNode(world), "k", HomeRegions.ANY);
        world.runFor(500);
        assertThat(world.decisions.get(again)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /**
     * Guards against a paused owner whose repeated write succeeds because a later owner used its
     * key and deleted it.
     */
    @Test
    void pausedOwnerDoesNotGrantAfterItsKeyWasDeleted() {
        OnceSimulation world = world(settings(1_000, 10, SEGMENT_BYTES));
        OnceNode old = firstNode(world);
        world.apiFaults = API_DOWN;
        RequestId unsettled = world.submit(old, "k", HomeRegions.ANY);
        world.runFor(1);
        old.paused = true;
        world.runFor(500);
        world.apiFaults = OnceSimulation.Faults.NONE;
        OnceNode next = world.add("b", OnceSimulation.NEAR);
        world.updateView(next, old);
        world.runFor(10_000);
        for (int i = 0; i < 100; i++) {
            grantedAndAnswered(world, next, "n" + i, HomeRegions.ANY);
        }
        RequestId granted = world.submit(next, "k", HomeRegions.ANY);
        world.runFor(200_000);
        assertThat(world.decisions.get(granted)).isInstanceOf(ClaimDecision.Granted.class);
        world.resume(old);
        RequestId duplicate = world.submit(old, "k", HomeRegions.ANY);
        world.runFor(3_000);
        assertThat(world.decisions.get(unsettled)).isInstanceOf(ClaimDecision.Refused.class);
        assertThat(world.decisions.get(duplicate)).isInstanceOf(ClaimDecision.Refused.class);
    }

    /** Guards against a taker that does not wait for the lease of an owner that says "not run". */
    @Test
    void pausedOwnerAnswersUnknownForKeysGrantedByTheNextOwner() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        OnceNode old = firstNode(world);
        grantedAndAnswered(world, old, "k0", HomeRegions.ANY);
        old.paused = true;
        OnceNode next = world.add("b", OnceSimulation.NEAR);
        world.updateView(next, old);
        int number = 0;
        RequestId granted;
        do {
            number++;
            granted = world.submit(next, "k" + number, HomeRegions.ANY);
            world.runFor(500);
        } while (number < 20 && world.decisions.get(granted) instanceof ClaimDecision.Refused);
        assertThat(world.decisions.get(granted)).isInstanceOf(ClaimDecision.Granted.class);
        world.apiFaults = API_DOWN;
        world.resume(old);
        RequestId duplicate = world.submit(old, "k" + number, HomeRegions.ANY);
        world.runFor(2_500);
        assertRefused(world, duplicate, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    /** Guards against an owner in memory that grants keys after another one replaced it. */
    @Test
    void replacedInMemoryOwnerGrantsNothing() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        OnceNode old = world.add("far1", OnceSimulation.FAR);
        world.updateView(old, null);
        grantedAndAnswered(world, old, "k0", IN_FAR);
        OnceNode next = world.add("far2", OnceSimulation.FAR);
        world.updateView(next, old);
        world.submit(next, "wake", IN_FAR);
        world.runFor(700_000);
        world.submit(next, "k", IN_FAR);
        world.runFor(1_000);
        RequestId duplicate = world.submit(old, "k", IN_FAR);
        world.runFor(3_000);
        assertThat(world.decisions.get(duplicate)).isInstanceOf(ClaimDecision.Refused.class);
    }

    /** Guards against an owner without records that takes an old key for a new one. */
    @Test
    void inMemoryOwnerAfterACrashAnswersUnknownForTheRetentionTime() {
        OnceSimulation world = world(settings(1_000, 256, SEGMENT_BYTES));
        OnceNode old = world.add("far1", OnceSimulation.FAR);
        world.updateView(old, null);
        grantedAndAnswered(world, old, "k", IN_FAR);
        world.crash(old);
        OnceNode next = world.add("far2", OnceSimulation.FAR);
        world.updateView(next, null);
        RequestId duplicate = world.submit(next, "k", IN_FAR);
        world.runFor(300_000);
        RequestId other = world.submit(next, "new", IN_FAR);
        world.runFor(RETENTION_MILLIS - 300_000);
        RequestId after = world.submit(next, "new2", IN_FAR);
        world.runFor(100);
        RefusalReason unknown = RefusalReason.EARLIER_OUTCOME_UNKNOWN;
        assertRefused(world, duplicate, unknown, Outcome.UNKNOWN);
        assertRefused(world, other, unknown, Outcome.UNKNOWN);
        assertThat(world.decisions.get(after)).isInstanceOf(ClaimDecision.Granted.class);
        assertThat(world.api.list("once/")).noneMatch(o -> o.key().contains("far"));
        assertThat(world.api.list("once-owner/")).hasSize(1);
    }

    /** Guards against a planned stop that loses records, with lost and doubled messages too. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void plannedStopHandsRecordsOver(boolean bound) {
        OnceSimulation world = world(settings(1_000, 256, 600));
        HomeRegions regions = bound ? IN_FAR : IN_NEAR;
        OnceNode old = bound ? world.add("far1", OnceSimulation.FAR) : firstNode(world);
        world.updateView(old, null);
        List<RequestId> answered = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answered.add(grantedAndAnswered(world, old, "k" + i, regions));
        }
        OnceNode next = world.add("next", bound ? OnceSimulation.FAR : OnceSimulation.NEAR);
        world.updateAllViews();
        world.netFaults = new OnceSimulation.Faults(0.5, 0, 0.3, 0);
        world.startPlannedStop(old);
        world.updateAllViews();
        world.runFor(5_000);
        assertThat(old.engine.isHandedOver()).isTrue();
        world.netFaults = OnceSimulation.Faults.NONE;
        world.crash(old);
        assertReplays(world, next, regions, answered);
        RequestId fresh = world.submit(next, "new", regions);
        world.runFor(500);
        assertThat(world.decisions.get(fresh)).isInstanceOf(ClaimDecision.Granted.class);
    }

    private static void assertReplays(
            OnceSimulation world, OnceNode node, HomeRegions regions, List<RequestId> answered) {
        for (int i = 0; i < answered.size(); i++) {
            RequestId duplicate = world.submit(node, "k" + i, regions);
            world.runFor(100);
            assertReplayOf(world, duplicate, answered.get(i));
        }
    }

    private static OnceSettings settings(int maxRecords, int checkpointSegments, int segmentBytes) {
        return new OnceSettings(
                1,
                1,
                8,
                6_000,
                1_000,
                4_000,
                600_000,
                60_000,
                120_000,
                2_000,
                200,
                5_000,
                1_000,
                5_000,
                maxRecords,
                4_096,
                16_384,
                32,
                segmentBytes,
                checkpointSegments,
                10);
    }

    /** A world with one instance beside the object API that owns every partition. */
    private static OnceSimulation world(OnceSettings settings) {
        OnceSimulation world = new OnceSimulation(7, settings);
        world.endCallsManually = true;
        world.add("a", OnceSimulation.NEAR);
        world.updateAllViews();
        world.runFor(1_000);
        return world;
    }

    private static OnceNode firstNode(OnceSimulation world) {
        return world.nodes.values().iterator().next();
    }

    private static RequestId grantedAndAnswered(
            OnceSimulation world, OnceNode node, String key, HomeRegions regions) {
        RequestId call = world.submit(node, key, regions);
        world.runFor(500);
        assertThat(world.decisions.get(call)).isInstanceOf(ClaimDecision.Granted.class);
        world.endCall(node, call, ClaimMessage.End.ANSWERED);
        world.runFor(100);
        return call;
    }

    private static void assertRefused(
            OnceSimulation world, RequestId call, RefusalReason reason, Outcome outcome) {
        assertThat(world.decisions.get(call))
                .isInstanceOfSatisfying(
                        ClaimDecision.Refused.class,
                        refused -> {
                            assertThat(refused.refusal().reason()).isEqualTo(reason);
                            assertThat(refused.refusal().outcome()).isEqualTo(outcome);
                        });
    }

    private static void assertReplayOf(OnceSimulation world, RequestId call, RequestId earlier) {
        assertThat(world.decisions.get(call))
                .isInstanceOfSatisfying(
                        ClaimDecision.Replay.class,
                        replay -> assertThat(replay.answer().body()).isEqualTo(earlier.value()));
    }
}
