package org.snipeslip.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against calls beyond a named rate limit, and against limits that hold too long. */
class CallAllowanceTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final RateLimit SLOW = new RateLimit.CallsPerSecond(0.3);

    private final CallAllowance allowance = new CallAllowance(new SplittableRandom(1));

    /** The limit comes, goes and changes at random, also within a window. */
    @Property(tries = 300)
    void everyWindowOfAllInstancesKeepsTheGreatestLimitNamedInIt(
            @ForAll @IntRange(min = 1, max = 30) int instances,
            @ForAll @DoubleRange(min = 0, max = 20) double greatest,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<CallAllowance> allowances = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            int rank = i;
            CallAllowance each = new CallAllowance(random.split());
            each.setShare(c -> c / instances + (rank < c % instances ? 1 : 0));
            allowances.add(each);
        }
        List<Long> sentNanos = new ArrayList<>();
        for (long now = 0; now < 20 * SECOND_NANOS; now += 1 + random.nextInt(20_000_000)) {
            CallAllowance each = allowances.get(random.nextInt(instances));
            if (!each.isLimited() || random.nextInt(20) == 0) {
                RateLimit limit = new RateLimit.CallsPerSecond(greatest * random.nextDouble());
                each.observe(limit, now, now);
            }
            if (each.allows(now)) {
                each.sent(now);
                sentNanos.add(now);
            }
            if (random.nextInt(100) == 0) {
                each.observe(RateLimit.UNLIMITED, now, now);
            }
        }
        int most = (int) (1.5 * 4 * greatest + 5);
        for (int i = 0; i + most < sentNanos.size(); i++) {
            assertThat(sentNanos.get(i + most) - sentNanos.get(i)).isGreaterThan(4 * SECOND_NANOS);
        }
    }

    /** A response that was sent before the limit was named says nothing about its end. */
    @Test
    void responseThatWasOvertakenDoesNotLiftTheLimit() {
        allowance.observe(SLOW, 10, 100);
        allowance.observe(RateLimit.UNLIMITED, 99, 200);
        assertThat(allowance.isLimited()).isTrue();
        allowance.observe(RateLimit.UNLIMITED, 100, 300);
        assertThat(allowance.isLimited()).isFalse();
    }

    @Test
    void higherLimitOfAnOvertakenResponseDoesNotRaiseTheLimit() {
        allowance.observe(SLOW, 10, 100);
        allowance.observe(new RateLimit.CallsPerSecond(1_000), 99, 200);
        assertThat(allowance.share()).isEqualTo(1);
        allowance.observe(new RateLimit.CallsPerSecond(1_000), 200, 300);
        assertThat(allowance.share()).isGreaterThan(1_000);
    }

    /** Guards against a limit that is never raised while responses overlap all the time. */
    @Test
    void higherLimitOfOverlappingResponsesRaisesTheLimit() {
        allowance.observe(SLOW, 0, 100);
        for (long now = 110; now <= 300; now += 10) {
            allowance.observe(new RateLimit.CallsPerSecond(1_000), now - 100, now);
        }
        assertThat(allowance.share()).isGreaterThan(1_000);
    }

    @Test
    void responseThatSaysNothingChangesNothing() {
        allowance.observe(RateLimit.UNKNOWN, 0, 0);
        assertThat(allowance.isLimited()).isFalse();
        allowance.observe(SLOW, 1, 1);
        allowance.observe(RateLimit.UNKNOWN, 2, 2);
        assertThat(allowance.isLimited()).isTrue();
    }

    /** Guards against a server that is never asked again because it named zero once. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.2, 3, 1e12})
    void aCallIsAllowedAgainAtTheTimeThatIsGiven(double callsPerSecond) {
        allowance.observe(new RateLimit.CallsPerSecond(callsPerSecond), 0, 0);
        long now = allowance.nextNanos(0);
        assertThat(now).isLessThanOrEqualTo(11 * SECOND_NANOS);
        assertThat(allowance.allows(now)).isTrue();
    }

    /** Guards against instances that all use their shares at once after a limit was named. */
    @Test
    void firstCallsAfterALimitWasNamedAreSpread() {
        List<Long> firstNanos =
                IntStream.range(0, 100)
                        .mapToObj(i -> new CallAllowance(new SplittableRandom(i)))
                        .peek(each -> each.observe(new RateLimit.CallsPerSecond(0.2), 0, 0))
                        .map(each -> each.nextNanos(0))
                        .toList();
        for (int second = 0; second < 4; second++) {
            long from = second * SECOND_NANOS;
            assertThat(firstNanos)
                    .filteredOn(first -> first >= from && first < from + SECOND_NANOS)
                    .hasSizeBetween(8, 40);
        }
    }
}
