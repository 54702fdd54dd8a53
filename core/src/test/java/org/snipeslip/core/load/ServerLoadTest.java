package org.snipeslip.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against trusting old reports, and against errors or silence looking like speed. */
class ServerLoadTest {
    private static final long MILLI = 1_000_000;

    private final ServiceLoad service = new ServiceLoad();
    private final ServerLoad good = new ServerLoad(service);
    private final ServerLoad other = new ServerLoad(service);

    @BeforeEach
    void configure() {
        good.configure(Distance.OWN_FAILURE_DOMAIN, 2);
        other.configure(Distance.OWN_FAILURE_DOMAIN, 2);
        for (int i = 0; i < 50; i++) {
            good.responded(2 * MILLI, i * MILLI);
        }
    }

    @Test
    void aFastErrorCountsAsASlowResponse() {
        for (int i = 0; i < 5; i++) {
            other.failed(1_000, 50 * MILLI);
        }
        assertThat(other.scoreNanos(50 * MILLI)).isGreaterThan(3 * good.scoreNanos(50 * MILLI));
        long later = 60_000 * MILLI;
        assertThat(other.scoreNanos(later)).as("decayed").isEqualTo(good.scoreNanos(later));
    }

    @Test
    void aServerThatDoesNotAnswerBecomesWorse() {
        other.sent(50 * MILLI);
        double soon = other.scoreNanos(51 * MILLI);
        assertThat(other.scoreNanos(150 * MILLI)).isGreaterThan(5 * soon);
    }

    @Test
    void aReportDecaysTowardsTheServiceMean() {
        other.reported(4, 2, 50 * MILLI);
        double fresh = other.estimatedInFlight(50 * MILLI);
        double old = other.estimatedInFlight(1_000 * MILLI);
        assertThat(fresh).isEqualTo(4);
        assertThat(old).isLessThan(0.5);
        other.sent(50 * MILLI);
        assertThat(other.estimatedInFlight(50 * MILLI)).as("sent since").isEqualTo(5);
    }

    @Test
    void distanceIsPartOfTheScore() {
        other.configure(Distance.OTHER_REGION, 2);
        assertThat(other.scoreNanos(0) - good.scoreNanos(0)).isGreaterThan(24.0 * MILLI);
    }
}
