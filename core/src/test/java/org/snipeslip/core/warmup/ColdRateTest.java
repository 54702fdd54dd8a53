package org.snipeslip.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.call.InstanceShareTest;

/**
 * Guards against instances that together send more calls to a cold server than allowed, although
 * they do not communicate.
 */
class ColdRateTest {
    private static final long SECOND_NANOS = 1_000_000_000;

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
        List<InstanceShare> shares = InstanceShareTest.shares(instances, 3);
        List<Long> sentNanos = new ArrayList<>();
        for (long now = 0; now < 4 * SECOND_NANOS; now += 1 + random.nextInt(20_000_000)) {
            int i = random.nextInt(instances);
            if (rates.get(i).allows(shares.get(i).ownPart(limit, "s"), now)) {
                rates.get(i).sent(now);
                sentNanos.add(now);
            }
        }
        for (int i = 0; i + limit < sentNanos.size(); i++) {
            assertThat(sentNanos.get(i + limit) - sentNanos.get(i)).isGreaterThan(SECOND_NANOS);
        }
    }
}
