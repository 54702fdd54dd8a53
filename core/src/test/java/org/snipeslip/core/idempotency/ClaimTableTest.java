package org.snipeslip.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/** Guards against answer bodies that exceed the memory limit, and records removed too early. */
class ClaimTableTest {
    private static final RecordableAnswer ANSWER =
            new RecordableAnswer(200, "text/plain", "x".repeat(1_368), true);
    private static final int FITTING_RECORDS = ClaimTable.MAX_BODY_BYTES / 1_368;

    @Test
    void keepsAnswersWithoutBodyAboveTheSizeLimit() {
        ClaimTable table = new ClaimTable(IdempotencySettings.DEFAULT);
        for (int i = 0; i < FITTING_RECORDS + 10; i++) {
            table.put(record(i), i);
        }
        assertThat(table.get("k0").answer()).isEqualTo(ANSWER);
        assertThat(table.get("k" + (FITTING_RECORDS - 1)).answer()).isEqualTo(ANSWER);
        assertThat(table.get("k" + FITTING_RECORDS).answer())
                .isEqualTo(new RecordableAnswer(200, "text/plain", "", false));
        table.prune(IdempotencySettings.DEFAULT.retentionNanos());
        table.put(record(FITTING_RECORDS), FITTING_RECORDS);
        assertThat(table.get("k0")).isNull();
        assertThat(table.get("k" + FITTING_RECORDS).answer()).isEqualTo(ANSWER);
    }

    private static ClaimRecord record(int number) {
        return new ClaimRecord(
                "k" + number,
                "print",
                new ClaimId(new InstanceId("i"), 1, number),
                ClaimMessage.ClaimState.ANSWERED,
                ANSWER);
    }
}
