package org.snipeslip.core.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.load.ServerLoad;
import org.snipeslip.core.load.ServiceLoad;

/**
 * Guards against herding on one of several equal candidates, and against a policy that ignores the
 * load by which it is meant to choose.
 */
class SelectionPolicyTest {
    private static final int ROUNDS = 6_000;

    private final Candidates candidates = new Candidates();
    private final ServiceLoad service = new ServiceLoad();

    @ParameterizedTest
    @EnumSource(PolicyName.class)
    void distributesCallsEvenlyOverEqualCandidates(PolicyName name) {
        addCandidates(0, 0, 0);
        for (int count : selectionCounts(name)) {
            assertThat(count).isBetween(ROUNDS / 3 - 200, ROUNDS / 3 + 200);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = PolicyName.class,
            names = {"ADAPTIVE", "LEAST_IN_FLIGHT"})
    void choosesTheIdleCandidate(PolicyName name) {
        addCandidates(3, 0, 3);
        assertThat(selectionCounts(name)).containsExactly(0, ROUNDS, 0);
    }

    @Test
    void twoChoicesNeverChoosesTheMostLoadedCandidate() {
        addCandidates(1, 2, 3);
        assertThat(selectionCounts(PolicyName.TWO_CHOICES)[2]).isZero();
    }

    private void addCandidates(int... inFlight) {
        for (int count : inFlight) {
            ServerLoad load = new ServerLoad(service);
            load.configure(Distance.OWN_REGION, 2);
            for (int i = 0; i < count; i++) {
                load.sent(0);
            }
            candidates.add(load);
        }
    }

    private int[] selectionCounts(PolicyName name) {
        SelectionPolicy policy = SelectionPolicy.of(name);
        SplittableRandom random = new SplittableRandom(5);
        int[] counts = new int[candidates.size()];
        for (int i = 0; i < ROUNDS; i++) {
            counts[policy.choose(candidates, 0, random)]++;
        }
        return counts;
    }
}
