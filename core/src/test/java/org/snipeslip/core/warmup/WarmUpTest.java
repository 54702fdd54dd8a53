package org.snipeslip.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against crushing a cold server and against never trusting it again. */
class WarmUpTest {
    private static final int FULL = 4;

    private final WarmUp warmUp = new WarmUp();

    @BeforeEach
    void start() {
        warmUp.startCold(100, 0);
    }

    @Test
    void pausesThenDoublesOnEvidence() {
        assertThat(warmUp.limit(99)).isZero();
        assertThat(warmUp.limit(100)).isEqualTo(1);
        good(2, false);
        assertThat(warmUp.limit(200)).isEqualTo(2);
        good(4, false);
        assertThat(warmUp.limit(200)).isEqualTo(4);
        good(8, false);
        assertThat(warmUp.isCold()).isFalse();
    }

    @Test
    void halvesOnBadResponses() {
        good(6, false);
        warmUp.recordBadResponse(50, 200);
        assertThat(warmUp.limit(200)).isEqualTo(2);
        warmUp.recordBadResponse(50, 200);
        assertThat(warmUp.limit(200)).isZero();
        assertThat(warmUp.limit(250)).isEqualTo(1);
    }

    @Test
    void staysAtHalfWhileTheServerReportsCold() {
        good(100, true);
        assertThat(warmUp.limit(200)).isEqualTo(FULL / 2);
    }

    @Test
    void threeBadResponsesInARowMakeAWarmServerCold() {
        good(14, false);
        warmUp.recordBadResponse(0, 300);
        warmUp.recordBadResponse(0, 300);
        assertThat(warmUp.isCold()).isFalse();
        warmUp.recordBadResponse(0, 300);
        assertThat(warmUp.limit(300)).isEqualTo(1);
    }

    @Test
    void aServerKnownSinceProcessStartNeedsFewResponses() {
        warmUp.startProbablyWarm();
        good(1 + 2 + 4, false);
        assertThat(warmUp.isCold()).isFalse();
    }

    private void good(int count, boolean reportsCold) {
        for (int i = 0; i < count; i++) {
            warmUp.recordSuccess(FULL, reportsCold);
        }
    }
}
