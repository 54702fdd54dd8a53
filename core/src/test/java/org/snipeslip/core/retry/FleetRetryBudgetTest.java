package org.snipeslip.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Bounds the retries and hedges of all instances together, while instances crash and restart, calls
 * are distributed unevenly over the instances and the instances do not communicate.
 */
class FleetRetryBudgetTest {
    private static final int PERCENT = 20;
    private static final double SLACK = 58;
    private static final int WINDOW = 200;
    private static final int STEPS = 2_000;

    /**
     * Guards against all instances together sending more retries and hedges in a window than the
     * allowed percentage of its calls plus the slack.
     */
    @Property(tries = 200)
    void sumStaysWithinTheRatioAndTheSlack(
            @ForAll @IntRange(min = 1, max = 120) int instances,
            @ForAll @DoubleRange(min = 0, max = 0.05) double restartProbability,
            @ForAll @DoubleRange(min = 1, max = 4) double skew,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            budgets.add(newEmptyBudget(instances));
        }
        int[] calls = new int[STEPS];
        int[] tries = new int[STEPS];
        for (int step = 0; step < STEPS; step++) {
            // Without failures for half a window, budgets fill up before all are used at once.
            boolean failing = step / (WINDOW / 2) % 2 == 1;
            int receiver = (int) (instances * Math.pow(random.nextDouble(), skew));
            RetryBudget budget = budgets.get(receiver);
            budget.earn();
            calls[step]++;
            for (int i = 0; failing && i < instances; i++) {
                while (budgets.get(i).take()) {
                    tries[step]++;
                }
            }
            if (random.nextDouble() < restartProbability) {
                budgets.set(random.nextInt(instances), newEmptyBudget(instances));
            }
        }
        for (int from = 0; from + WINDOW <= STEPS; from++) {
            double allowed = PERCENT / 100.0 * sum(calls, from) + SLACK;
            assertThat((double) sum(tries, from)).isLessThanOrEqualTo(allowed);
        }
    }

    private static RetryBudget newEmptyBudget(int instances) {
        RetryBudget budget = new RetryBudget(PERCENT, 0);
        budget.setCapacity(SLACK / instances);
        return budget;
    }

    private static int sum(int[] values, int from) {
        int sum = 0;
        for (int i = from; i < from + WINDOW; i++) {
            sum += values[i];
        }
        return sum;
    }
}
