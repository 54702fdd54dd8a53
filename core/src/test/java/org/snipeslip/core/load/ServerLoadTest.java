package org.snipeslip.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against scores that rely on outdated load reports, and against a server that fails fast or
 * does not respond being scored as a fast one.
 */
class ServerLoadTest {
    private static final long MILLI = 1_000_000;

    private final ServiceLoad service = new ServiceLoad();
    private final ServerLoad healthy = new ServerLoad(service);
    private final ServerLoad other = new ServerLoad(service);

    @BeforeEach
    void configure() {
        healthy.configure(Distance.OWN_FAILURE_DOMAIN, 2);
        other.configure(Distance.OWN_FAILURE_DOMAIN, 2);
        for (int i = 0; i < 50; i++) {
            healthy.responded(2 * MILLI, i * MILLI);
        }
    }

    @Test
    void fastErrorCountsAsSlowResponse() {
        for (int i = 0; i < 5; i++) {
            other.failed(1_000, 50 * MILLI);
        }
        assertThat(other.scoreNanos(50 * MILLI)).isGreaterThan(3 * healthy.scoreNanos(50 * MILLI));
        long later = 60_000 * MILLI;
        assertThat(other.scoreNanos(later))
                .as("score after the error has decayed")
                .isEqualTo(healthy.scoreNanos(later));
    }

    @Test
    void scoreRisesWhileAServerDoesNotRespond() {
        other.sent(50 * MILLI);
        double early = other.scoreNanos(51 * MILLI);
        assertThat(other.scoreNanos(150 * MILLI)).isGreaterThan(5 * early);
    }

    @Test
    void reportDecaysTowardsTheServiceMean() {
        other.reported(4, 2, 50 * MILLI);
        double fresh = other.estimatedInFlight(50 * MILLI);
        double old = other.estimatedInFlight(1_000 * MILLI);
        assertThat(fresh).isEqualTo(4);
        assertThat(old).isLessThan(0.5);
        other.sent(50 * MILLI);
        assertThat(other.estimatedInFlight(50 * MILLI))
                .as("calls sent since the report are added")
                .isEqualTo(5);
    }

    @Test
    void scoreIncludesTheDistance() {
        other.configure(Distance.OTHER_REGION, 2);
        assertThat(other.scoreNanos(0) - healthy.scoreNanos(0)).isGreaterThan(24.0 * MILLI);
    }
}
