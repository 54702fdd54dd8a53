package org.snipeslip.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against instances that together send more calls to a cold server than allowed, although
 * they do not communicate.
 */
class ColdRateTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    @Property
    void sharesAddUpToTheLimit(
            @ForAll @IntRange(min = 1, max = 60) int limit,
            @ForAll @IntRange(min = 1, max = 120) int instances,
            @ForAll int serverHash) {
        int sum = 0;
        for (int i = 0; i < instances; i++) {
            sum += ColdRate.share(limit, instances, i, serverHash);
        }
        assertThat(sum).isEqualTo(limit);
    }

    /**
     * Each instance sends whenever its share allows; no second may contain more calls than the
     * limit.
     */
    @Property(tries = 200)
    void callsOfAllInstancesStayWithinTheLimitInEachSecond(
            @ForAll @IntRange(min = 1, max = 30) int limit,
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
            if (rates.get(i).allows(ColdRate.share(limit, instances, i, 7), now)) {
                rates.get(i).sent(now);
                sentNanos.add(now);
            }
        }
        for (int i = 0; i + limit < sentNanos.size(); i++) {
            assertThat(sentNanos.get(i + limit) - sentNanos.get(i)).isGreaterThan(SECOND_NANOS);
        }
    }
}
