package org.snipeslip.core.probe;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against probes that exceed their budget, for any timing of the demand. */
class ProbeBudgetTest {
    private static final ProbeSettings SETTINGS = new ProbeSettings(5, 4_096, 2, 600, 1_000);

    @Property(seed = "20261206", tries = 200)
    void staysWithinCallAndByteRates(
            @ForAll @Size(max = 300)
                    java.util.List<@LongRange(min = 0, max = 300) Long> gapMillis) {
        ProbeBudget budget = new ProbeBudget(SETTINGS);
        long nowNanos = 0;
        long regionalProbes = 0;
        long crossRegionProbes = 0;
        for (long gap : gapMillis) {
            nowNanos += gap * 1_000_000;
            regionalProbes += budget.takeProbe(false, nowNanos) ? 1 : 0;
            crossRegionProbes += budget.takeProbe(true, nowNanos) ? 1 : 0;
            double seconds = nowNanos / 1e9;
            assertThat((double) regionalProbes).isLessThanOrEqualTo(5 * (1 + seconds));
            double crossRegionBytes = crossRegionProbes * ProbeBudget.EXPECTED_PROBE_BYTES;
            assertThat(crossRegionBytes).isLessThanOrEqualTo(600 * (1 + seconds));
        }
        assertThat(budget.counters().probes()).isEqualTo(regionalProbes + crossRegionProbes);
    }

    @Test
    void largerResponseDelaysLaterProbes() {
        ProbeBudget budget = new ProbeBudget(SETTINGS);
        assertThat(budget.takeProbe(false, 0)).isTrue();
        budget.probeEnded(false, 10_000);
        assertThat(budget.takeProbe(false, 1_000_000_000)).isFalse();
        assertThat(budget.counters()).isEqualTo(new ProbeCounters(1, 0, 10_000, 1));
    }

    @Test
    void selectsServersWithoutCallsFirst() {
        ProbeSchedule<String> schedule = new ProbeSchedule<>(100);
        schedule.clearCandidates();
        schedule.addCandidate("fresh", false, 50, 0);
        schedule.addCandidate("old", false, 500, 0);
        schedule.addCandidate("drained", true, 200, 0);
        assertThat(schedule.candidates()).containsExactly("drained", "old");
        schedule.recordSent("old", 0);
        schedule.clearCandidates();
        schedule.addCandidate("old", false, 500, 1);
        assertThat(schedule.candidates()).isEmpty();
    }
}
