package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A status that promises "not run" must never answer a call that may have run. */
class RefusalTest {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void promisesOnlyWhatIsKnown(RefusalReason reason) {
        assertThat(PROMISES).doesNotContain(Refusal.unknown(reason).status());
        assertThat(Refusal.notRun(reason).status()).isEqualTo(reason.status());
    }
}
