package org.snipeslip.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Instances that do not hear of each other must keep a bound on their sum. */
class ColdRateTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    @Property
    void sharesAddUpToTheBound(
            @ForAll @IntRange(min = 1, max = 60) int bound,
            @ForAll @IntRange(min = 1, max = 120) int instances,
            @ForAll int serverHash) {
        int sum = 0;
        for (int i = 0; i < instances; i++) {
            sum += ColdRate.share(bound, instances, i, serverHash);
        }
        assertThat(sum).isEqualTo(bound);
    }

    /** All instances send whenever they may; no second may hold more than the bound. */
    @Property(tries = 200)
    void noSecondHoldsMoreThanTheBound(
            @ForAll @IntRange(min = 1, max = 30) int bound,
            @ForAll @IntRange(min = 1, max = 25) int instances,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<ColdRate> rates = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            rates.add(new ColdRate());
        }
        List<Long> sentNanos = new ArrayList<>();
        for (long now = 0; now < 4 * SECOND_NANOS; now += 1 + random.nextInt(20_000_000)) {
            int i = random.nextInt(instances);
            if (rates.get(i).allows(ColdRate.share(bound, instances, i, 7), now)) {
                rates.get(i).sent(now);
                sentNanos.add(now);
            }
        }
        for (int i = 0; i + bound < sentNanos.size(); i++) {
            assertThat(sentNanos.get(i + bound) - sentNanos.get(i)).isGreaterThan(SECOND_NANOS);
        }
    }
}
