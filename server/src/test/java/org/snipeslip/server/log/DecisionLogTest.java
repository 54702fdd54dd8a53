package org.snipeslip.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Tests the decision log and the ring buffer of recent decisions. */
class DecisionLogTest {
    /**
     * Guards against a slow log target that blocks calls, and against dropped lines not counted.
     */
    @Test
    void fullQueueDropsAndCounts() throws Exception {
        Semaphore writerEntered = new Semaphore(0);
        CountDownLatch releaseWriter = new CountDownLatch(1);
        ConcurrentLinkedQueue<Object> written = new ConcurrentLinkedQueue<>();
        DecisionLog log =
                new DecisionLog(
                        new DecisionLogSettings(1, 4),
                        fields -> {
                            writerEntered.release();
                            awaitOrInterrupt(releaseWriter);
                            written.add(fields.get("request"));
                        });
        log.add(decision("first"));
        writerEntered.acquire();
        for (int i = 0; i < 10; i++) {
            log.add(decision("r" + i));
        }
        assertThat(log.droppedLines()).isEqualTo(6);
        releaseWriter.countDown();
        log.close();
        assertThat(written).containsExactly("first", "r0", "r1", "r2", "r3");
    }

    /**
     * Guards against sampling that logs only some decisions of a call, or a wrong ratio of calls.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "0.25, 2000, 3000", "1, 10000, 10000"})
    void samplingLogsAllDecisionsOfACall(double sampleRatio, int minCalls, int maxCalls) {
        ConcurrentLinkedQueue<Object> written = new ConcurrentLinkedQueue<>();
        DecisionLog log =
                new DecisionLog(
                        new DecisionLogSettings(sampleRatio, 100_000),
                        fields -> written.add(fields.get("request")));
        for (int i = 0; i < 10_000; i++) {
            log.add(decision("entry-1-mx8k-" + Integer.toString(i, 36)));
            log.add(decision("entry-1-mx8k-" + Integer.toString(i, 36)));
        }
        log.close();
        assertThat(written.size()).isBetween(2 * minCalls, 2 * maxCalls);
        assertThat(written.stream().distinct().count()).isEqualTo(written.size() / 2);
    }

    /** Guards against a field that is missing in a log line. */
    @Test
    void fieldsDescribeTheDecision() {
        DecisionRecord.Candidate candidate =
                new DecisionRecord.Candidate(
                        new BackendServerId("b"), DecisionRecord.Exclusion.AT_LIMIT, 5, 2, 3, 4, 6);
        DecisionRecord decision =
                new DecisionRecord(
                        new RequestId("q"),
                        DecisionRecord.Kind.REFUSED,
                        new RouteId("r"),
                        new ServiceId("s"),
                        2,
                        null,
                        Refusal.unknown(RefusalReason.BACKEND_SERVER_FAILED),
                        List.of(candidate));
        Map<String, Object> fields = DecisionFields.of(decision);
        assertThat(fields)
                .containsEntry("request", "q")
                .containsEntry("kind", "refused")
                .containsEntry("route", "r")
                .containsEntry("service", "s")
                .containsEntry("try", 2)
                .containsEntry("reason", "backend-server-failed")
                .containsEntry("outcome", "unknown")
                .doesNotContainKey("chosen");
        assertThat(fields.get("candidates").toString())
                .contains("exclusion=at-limit", "inFlight=2", "limit=3", "reportAgeNanos=6");
    }

    /** Guards against a ring buffer that grows, or that loses decisions before it is full. */
    @Test
    void ringKeepsTheLastDecisions() {
        RecentDecisions recent = new RecentDecisions();
        for (int i = 0; i <= RecentDecisions.CAPACITY; i++) {
            recent.add(decision("r" + i));
        }
        assertThat(recent.forRequest(new RequestId("r0"))).isEmpty();
        assertThat(recent.forRequest(new RequestId("r1"))).hasSize(1);
        assertThat(recent.forRequest(new RequestId("r" + RecentDecisions.CAPACITY))).hasSize(1);
    }

    private static void awaitOrInterrupt(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static DecisionRecord decision(String request) {
        return new DecisionRecord(
                new RequestId(request),
                DecisionRecord.Kind.ROUTED,
                new RouteId("r"),
                new ServiceId("s"),
                1,
                new BackendServerId("b"),
                null,
                List.of());
    }
}
