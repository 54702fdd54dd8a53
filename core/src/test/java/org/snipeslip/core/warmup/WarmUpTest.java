package org.snipeslip.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against overloading a cold server and against a server that stays cold for ever. */
class WarmUpTest {
    private static final int FULL_LIMIT = 4;

    private final WarmUp warmUp = new WarmUp();

    @BeforeEach
    void start() {
        warmUp.startCold(100, 0);
    }

    @Test
    void pausesThenDoublesAfterSuccesses() {
        assertThat(warmUp.limit(99)).isZero();
        assertThat(warmUp.limit(100)).isEqualTo(1);
        recordSuccesses(2, false);
        assertThat(warmUp.limit(200)).isEqualTo(2);
        recordSuccesses(4, false);
        assertThat(warmUp.limit(200)).isEqualTo(4);
        recordSuccesses(8, false);
        assertThat(warmUp.isCold()).isFalse();
    }

    @Test
    void halvesThenPausesOnBadResponses() {
        recordSuccesses(6, false);
        warmUp.recordBadResponse(50, 200);
        assertThat(warmUp.limit(200)).isEqualTo(2);
        warmUp.recordBadResponse(50, 200);
        assertThat(warmUp.limit(200)).isZero();
        assertThat(warmUp.limit(250)).isEqualTo(1);
    }

    @Test
    void staysAtHalfWhileTheServerReportsCold() {
        recordSuccesses(100, true);
        assertThat(warmUp.limit(200)).isEqualTo(FULL_LIMIT / 2);
    }

    @Test
    void threeConsecutiveBadResponsesMakeAWarmServerCold() {
        recordSuccesses(14, false);
        warmUp.recordBadResponse(0, 300);
        warmUp.recordBadResponse(0, 300);
        assertThat(warmUp.isCold()).isFalse();
        warmUp.recordBadResponse(0, 300);
        assertThat(warmUp.limit(300)).isEqualTo(1);
    }

    @Test
    void serverPresentAtProcessStartNeedsFewSuccesses() {
        warmUp.startProbablyWarm();
        recordSuccesses(1 + 2 + 4, false);
        assertThat(warmUp.isCold()).isFalse();
    }

    private void recordSuccesses(int count, boolean reportsCold) {
        for (int i = 0; i < count; i++) {
            warmUp.recordSuccess(FULL_LIMIT, reportsCold);
        }
    }
}
