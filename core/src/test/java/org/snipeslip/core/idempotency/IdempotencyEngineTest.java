package org.snipeslip.core.idempotency;

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

/** Scenarios of the at-most-once engine in virtual time. */
class IdempotencyEngineTest {
    private static final IdempotencySimulation.Faults API_DOWN =
            new IdempotencySimulation.Faults(1, 0, 0, 0);

    /** Ten minutes on a clock that is up to 1% slow, and a second until the record is written. */
    private static final long RETENTION_MILLIS = 600_000 * 102 / 100;

    private static final int SEGMENT_BYTES = 65_536;

    private static final HomeRegions IN_NEAR =
            new HomeRegions(true, Set.of(IdempotencySimulation.NEAR));
    private static final HomeRegions IN_FAR =
            new HomeRegions(true, Set.of(IdempotencySimulation.FAR));

    /** Guards against "not run" from an instance that does not know earlier submissions. */
    @Test
    void refusesWithUnknownOutcomeBeforeTheFirstMemberView() {
        IdempotencySimulation sim =
                new IdempotencySimulation(1, settings(1_000, 256, SEGMENT_BYTES));
        RequestId call = sim.submit(sim.add("a", IdempotencySimulation.NEAR), "k", HomeRegions.ANY);
        assertRefused(sim, call, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    /** Guards against an idle partition that delays a claim to fill a batch. */
    @Test
    void grantsAClaimToAnIdlePartitionAfterOneRoundTrip() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        RequestId call = sim.submit(firstNode(sim), "k", HomeRegions.ANY);
        sim.runFor(8);
        assertThat(sim.decisions.get(call)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /** Guards against a false "not run" after the lease, when another owner may have taken over. */
    @Test
    void refusesNewKeysAsNotRunOnlyWithinTheLease() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        RequestId answered = grantedAndAnswered(sim, firstNode(sim), "old", HomeRegions.ANY);
        sim.apiFaults = API_DOWN;
        RequestId early = sim.submit(firstNode(sim), "new1", HomeRegions.ANY);
        sim.runFor(1_500);
        assertRefused(sim, early, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
        sim.runFor(6_000);
        RequestId late = sim.submit(firstNode(sim), "new2", HomeRegions.ANY);
        RequestId duplicate = sim.submit(firstNode(sim), "old", HomeRegions.ANY);
        sim.runFor(1_500);
        assertRefused(sim, late, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        assertReplayOf(sim, duplicate, answered);
        sim.runFor(120_000);
        sim.apiFaults = IdempotencySimulation.Faults.NONE;
        sim.runFor(10_000);
        RequestId after = sim.submit(firstNode(sim), "old", HomeRegions.ANY);
        sim.runFor(100);
        assertReplayOf(sim, after, answered);
    }

    /** Guards against records that a full table removes before their retention time. */
    @Test
    void refusesNewKeysAsNotRunWhenFull() {
        IdempotencySimulation sim = simulation(settings(2, 256, SEGMENT_BYTES));
        RequestId answered = grantedAndAnswered(sim, firstNode(sim), "k1", HomeRegions.ANY);
        grantedAndAnswered(sim, firstNode(sim), "k2", HomeRegions.ANY);
        RequestId third = sim.submit(firstNode(sim), "k3", HomeRegions.ANY);
        RequestId duplicate = sim.submit(firstNode(sim), "k1", HomeRegions.ANY);
        sim.runFor(100);
        assertRefused(sim, third, RefusalReason.ONCE_UNAVAILABLE, Outcome.NOT_RUN);
        assertReplayOf(sim, duplicate, answered);
        sim.runFor(RETENTION_MILLIS);
        RequestId later = sim.submit(firstNode(sim), "k3", HomeRegions.ANY);
        sim.runFor(100);
        assertThat(sim.decisions.get(later)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /** Guards against idle owners that exhaust the write capacity of the object API. */
    @Test
    void idlePartitionsAppendEightTimesPerSecondInTotal() {
        IdempotencySimulation sim = simulation(IdempotencySettings.DEFAULT);
        long before = sim.oracle.creates;
        sim.runFor(60_000);
        assertThat(sim.oracle.creates - before).isBetween(60L * 6, 60L * 8 + 32);
    }

    /** Guards against a log that grows without limit. */
    @ParameterizedTest
    @ValueSource(ints = {10, 256})
    void checkpointsBoundTheLogSize(int checkpointSegments) {
        IdempotencySimulation sim = simulation(settings(1_000, checkpointSegments, SEGMENT_BYTES));
        for (int i = 0; i < 300; i++) {
            grantedAndAnswered(sim, firstNode(sim), "k" + i, HomeRegions.ANY);
        }
        // 8 writes per second during the deletion delay of 120 s, and two checkpoint intervals.
        assertThat(sim.api.objects.size()).isLessThan(960 + 2 * checkpointSegments);
        sim.runFor(300_000);
        // An idle owner appends every 4 s, and a checkpoint of these records needs 2 segments.
        assertThat(sim.api.objects.size()).isLessThan(60 + 2 * checkpointSegments);
    }

    /** Guards against a checkpoint over several segments that misses records. */
    @ParameterizedTest
    @ValueSource(ints = {600, 4_096, SEGMENT_BYTES})
    void checkpointsKeepEveryRecord(int segmentBytes) {
        IdempotencySimulation sim = simulation(settings(1_000, 10, segmentBytes));
        List<RequestId> answered = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            answered.add(grantedAndAnswered(sim, firstNode(sim), "k" + i, HomeRegions.ANY));
        }
        sim.runFor(200_000);
        sim.crash(firstNode(sim));
        sim.start(firstNode(sim));
        sim.updateAllViews();
        sim.runFor(10_000);
        assertReplays(sim, firstNode(sim), HomeRegions.ANY, answered);
    }

    /** Guards against a grant that is accepted after the caller received a refusal. */
    @Test
    void lateGrantIsIgnoredAndReleasesTheKey() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        IdempotencyNode requester = sim.add("b", IdempotencySimulation.NEAR);
        sim.updateView(requester, null);
        RequestId late = sim.submit(requester, "k", HomeRegions.ANY);
        requester.paused = true;
        sim.runFor(3_000);
        sim.resume(requester);
        sim.runFor(100);
        assertRefused(sim, late, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
        RequestId again = sim.submit(firstNode(sim), "k", HomeRegions.ANY);
        sim.runFor(500);
        assertThat(sim.decisions.get(again)).isInstanceOf(ClaimDecision.Granted.class);
    }

    /**
     * Guards against a paused owner whose repeated append succeeds because a later owner created
     * and deleted a segment with the same key.
     */
    @Test
    void pausedOwnerDoesNotGrantAfterItsKeyWasDeleted() {
        IdempotencySimulation sim = simulation(settings(1_000, 10, SEGMENT_BYTES));
        IdempotencyNode old = firstNode(sim);
        sim.apiFaults = API_DOWN;
        RequestId pending = sim.submit(old, "k", HomeRegions.ANY);
        sim.runFor(1);
        old.paused = true;
        sim.runFor(500);
        sim.apiFaults = IdempotencySimulation.Faults.NONE;
        IdempotencyNode next = sim.add("b", IdempotencySimulation.NEAR);
        sim.updateView(next, old);
        sim.runFor(10_000);
        for (int i = 0; i < 100; i++) {
            grantedAndAnswered(sim, next, "n" + i, HomeRegions.ANY);
        }
        RequestId granted = sim.submit(next, "k", HomeRegions.ANY);
        sim.runFor(200_000);
        assertThat(sim.decisions.get(granted)).isInstanceOf(ClaimDecision.Granted.class);
        sim.resume(old);
        RequestId duplicate = sim.submit(old, "k", HomeRegions.ANY);
        sim.runFor(3_000);
        assertThat(sim.decisions.get(pending)).isInstanceOf(ClaimDecision.Refused.class);
        assertThat(sim.decisions.get(duplicate)).isInstanceOf(ClaimDecision.Refused.class);
    }

    /** Guards against a takeover during the lease, while the old owner still answers "not run". */
    @Test
    void pausedOwnerAnswersUnknownForKeysGrantedByTheNextOwner() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        IdempotencyNode old = firstNode(sim);
        grantedAndAnswered(sim, old, "k0", HomeRegions.ANY);
        old.paused = true;
        IdempotencyNode next = sim.add("b", IdempotencySimulation.NEAR);
        sim.updateView(next, old);
        int number = 0;
        RequestId granted;
        do {
            number++;
            granted = sim.submit(next, "k" + number, HomeRegions.ANY);
            sim.runFor(500);
        } while (number < 20 && sim.decisions.get(granted) instanceof ClaimDecision.Refused);
        assertThat(sim.decisions.get(granted)).isInstanceOf(ClaimDecision.Granted.class);
        sim.apiFaults = API_DOWN;
        sim.resume(old);
        RequestId duplicate = sim.submit(old, "k" + number, HomeRegions.ANY);
        sim.runFor(2_500);
        assertRefused(sim, duplicate, RefusalReason.ONCE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    /** Guards against an in-memory owner that grants claims after another owner replaced it. */
    @Test
    void replacedInMemoryOwnerGrantsNothing() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        IdempotencyNode old = sim.add("far1", IdempotencySimulation.FAR);
        sim.updateView(old, null);
        grantedAndAnswered(sim, old, "k0", IN_FAR);
        IdempotencyNode next = sim.add("far2", IdempotencySimulation.FAR);
        sim.updateView(next, old);
        sim.submit(next, "wake", IN_FAR);
        sim.runFor(700_000);
        sim.submit(next, "k", IN_FAR);
        sim.runFor(1_000);
        RequestId duplicate = sim.submit(old, "k", IN_FAR);
        sim.runFor(3_000);
        assertThat(sim.decisions.get(duplicate)).isInstanceOf(ClaimDecision.Refused.class);
    }

    /** Guards against an owner without the earlier records that treats a used key as new. */
    @Test
    void inMemoryOwnerAfterACrashAnswersUnknownForTheRetentionTime() {
        IdempotencySimulation sim = simulation(settings(1_000, 256, SEGMENT_BYTES));
        IdempotencyNode old = sim.add("far1", IdempotencySimulation.FAR);
        sim.updateView(old, null);
        grantedAndAnswered(sim, old, "k", IN_FAR);
        sim.crash(old);
        IdempotencyNode next = sim.add("far2", IdempotencySimulation.FAR);
        sim.updateView(next, null);
        RequestId duplicate = sim.submit(next, "k", IN_FAR);
        sim.runFor(300_000);
        RequestId other = sim.submit(next, "new", IN_FAR);
        sim.runFor(RETENTION_MILLIS - 300_000);
        RequestId after = sim.submit(next, "new2", IN_FAR);
        sim.runFor(100);
        RefusalReason unknown = RefusalReason.EARLIER_OUTCOME_UNKNOWN;
        assertRefused(sim, duplicate, unknown, Outcome.UNKNOWN);
        assertRefused(sim, other, unknown, Outcome.UNKNOWN);
        assertThat(sim.decisions.get(after)).isInstanceOf(ClaimDecision.Granted.class);
        assertThat(sim.api.list("once/")).noneMatch(object -> object.key().contains("far"));
        assertThat(sim.api.list("once-owner/")).hasSize(1);
    }

    /** Guards against a planned stop that loses records, also with lost and duplicated messages. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void plannedStopHandsRecordsOver(boolean bound) {
        IdempotencySimulation sim = simulation(settings(1_000, 256, 600));
        HomeRegions regions = bound ? IN_FAR : IN_NEAR;
        IdempotencyNode old = bound ? sim.add("far1", IdempotencySimulation.FAR) : firstNode(sim);
        sim.updateView(old, null);
        List<RequestId> answered = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answered.add(grantedAndAnswered(sim, old, "k" + i, regions));
        }
        IdempotencyNode next =
                sim.add("next", bound ? IdempotencySimulation.FAR : IdempotencySimulation.NEAR);
        sim.updateAllViews();
        sim.netFaults = new IdempotencySimulation.Faults(0.5, 0, 0.3, 0);
        sim.startPlannedStop(old);
        sim.updateAllViews();
        sim.runFor(5_000);
        assertThat(old.engine.isHandedOver()).isTrue();
        sim.netFaults = IdempotencySimulation.Faults.NONE;
        sim.crash(old);
        assertReplays(sim, next, regions, answered);
        RequestId fresh = sim.submit(next, "new", regions);
        sim.runFor(500);
        assertThat(sim.decisions.get(fresh)).isInstanceOf(ClaimDecision.Granted.class);
    }

    private static void assertReplays(
            IdempotencySimulation sim,
            IdempotencyNode node,
            HomeRegions regions,
            List<RequestId> answered) {
        for (int i = 0; i < answered.size(); i++) {
            RequestId duplicate = sim.submit(node, "k" + i, regions);
            sim.runFor(100);
            assertReplayOf(sim, duplicate, answered.get(i));
        }
    }

    private static IdempotencySettings settings(
            int maxRecords, int checkpointSegments, int segmentBytes) {
        return new IdempotencySettings(
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

    /** Simulation with one instance, in the region of the object API, that owns every partition. */
    private static IdempotencySimulation simulation(IdempotencySettings settings) {
        IdempotencySimulation sim = new IdempotencySimulation(7, settings);
        sim.endCallsManually = true;
        sim.add("a", IdempotencySimulation.NEAR);
        sim.updateAllViews();
        sim.runFor(1_000);
        return sim;
    }

    private static IdempotencyNode firstNode(IdempotencySimulation sim) {
        return sim.nodes.values().iterator().next();
    }

    private static RequestId grantedAndAnswered(
            IdempotencySimulation sim, IdempotencyNode node, String key, HomeRegions regions) {
        RequestId call = sim.submit(node, key, regions);
        sim.runFor(500);
        assertThat(sim.decisions.get(call)).isInstanceOf(ClaimDecision.Granted.class);
        sim.endCall(node, call, ClaimMessage.ClaimState.ANSWERED);
        sim.runFor(100);
        return call;
    }

    private static void assertRefused(
            IdempotencySimulation sim, RequestId call, RefusalReason reason, Outcome outcome) {
        assertThat(sim.decisions.get(call))
                .isInstanceOfSatisfying(
                        ClaimDecision.Refused.class,
                        refused -> {
                            assertThat(refused.refusal().reason()).isEqualTo(reason);
                            assertThat(refused.refusal().outcome()).isEqualTo(outcome);
                        });
    }

    private static void assertReplayOf(
            IdempotencySimulation sim, RequestId call, RequestId earlier) {
        assertThat(sim.decisions.get(call))
                .isInstanceOfSatisfying(
                        ClaimDecision.Replay.class,
                        replay -> assertThat(replay.answer().body()).isEqualTo(earlier.value()));
    }
}
