package org.snipeslip.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a limit that exceeds the slots or the connections of a server, and against one
 * that does not react to refusals or rising latency.
 */
class ConcurrencyLimitTest {
    private final ConcurrencyLimit limit = new ConcurrencyLimit();

    @ParameterizedTest
    @CsvSource({"2, 220, 15, 4", "4, 30, 15, 2", "2, 10, 15, 1", "4, 260, 1, 8"})
    void growsOnlyUpToItsUpperBound(int slots, int connections, int instances, int expected) {
        limit.configure(slots, connections, instances);
        for (int i = 0; i < 100; i++) {
            limit.responded(1, 1, limit.limit(), i);
        }
        assertThat(limit.limit()).isEqualTo(expected);
    }

    @Test
    void decreasesOnRefusalsAndOnTheLatencyGradient() {
        limit.configure(4, 300, 15);
        limit.refused(10, 100);
        assertThat(limit.limit()).isEqualTo(2);
        limit.refused(10, 105);
        assertThat(limit.limit())
                .as("second refusal within one response time is ignored")
                .isEqualTo(2);
        for (int i = 0; i < 20; i++) {
            limit.responded(50, 10, 2, 200 + 20L * i);
        }
        assertThat(limit.limit()).isEqualTo(1);
    }

    @Test
    void doesNotGrowWhileLessThanHalfIsUsed() {
        limit.configure(4, 300, 15);
        limit.responded(1, 1, 1, 0);
        assertThat(limit.limit()).isEqualTo(4);
    }
}
