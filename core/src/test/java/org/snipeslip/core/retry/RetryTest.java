package org.snipeslip.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a second execution of a call that is not idempotent, and against retries that
 * multiply the load.
 */
class RetryTest {
    @ParameterizedTest
    @CsvSource({
        "true, true, true, true, 1, 1, true",
        "false, false, true, true, 1, 1, true",
        "false, true, true, true, 1, 1, false",
        "true, true, false, true, 1, 1, false",
        "false, false, false, false, 1, 1, true",
        "true, true, true, true, 0, 1, false",
        "true, true, true, true, 1, 0, false",
    })
    void retriesOnlyIfASecondExecutionIsHarmlessOrImpossible(
            boolean idempotent,
            boolean mayHaveStarted,
            boolean replayable,
            boolean bodyRead,
            int retriesLeft,
            long remainingNanos,
            boolean expected) {
        assertThat(
                        RetryRule.mayRetry(
                                idempotent,
                                mayHaveStarted,
                                replayable,
                                bodyRead,
                                retriesLeft,
                                remainingNanos))
                .isEqualTo(expected);
    }

    @Test
    void budgetAllowsTenPercentPlusTheBurst() {
        RetryBudget budget = new RetryBudget(10);
        int allowed = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.earn();
            allowed += budget.take() ? 1 : 0;
        }
        assertThat(allowed).isBetween(100, 100 + RetryBudget.BURST);
    }

    @Test
    void quantileConvergesToTheLatency() {
        LatencyQuantile p95 = new LatencyQuantile(0.95);
        SplittableRandom random = new SplittableRandom(3);
        assertThat(p95.nanos()).isNegative();
        for (int i = 0; i < 20_000; i++) {
            p95.observe(random.nextLong(1_000_000));
        }
        assertThat(p95.nanos()).isBetween(850_000L, 1_050_000L);
    }
}
