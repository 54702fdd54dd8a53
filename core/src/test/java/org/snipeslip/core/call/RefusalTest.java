package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a status that states that a call did not run when it may have run. */
class RefusalTest {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void unknownOutcomeNeverGetsNotRunStatus(RefusalReason reason) {
        assertThat(NOT_RUN_STATUSES).doesNotContain(Refusal.unknown(reason).status());
        assertThat(Refusal.notRun(reason).status()).isEqualTo(reason.status());
    }
}
