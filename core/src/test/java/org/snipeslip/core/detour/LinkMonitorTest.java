package org.snipeslip.core.detour;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/** Tests what tells lost links from lost servers. */
class LinkMonitorTest {
    private static final long MILLI = 1_000_000;
    private static final int SERVERS = 24;
    private static final int DOMAINS = 4;

    private final LinkMonitor monitor = new LinkMonitor();
    private long nowNanos = 10_000 * MILLI;

    LinkMonitorTest() {
        monitor.configure(SERVERS, DOMAINS);
    }

    /** Guards against an instance that goes on to try servers that it cannot reach. */
    @ParameterizedTest
    @CsvSource({"3, 200", "10, 40", "24, 100"})
    void isCutOffWhenNoServerOfSeveralFailureDomainsIsReached(int servers, long stepMillis) {
        for (int i = 0; i < servers; i++) {
            fail(i, stepMillis);
        }
        assertThat(monitor.state()).isEqualTo(LinkState.CUT_OFF);
    }

    /** Guards against the loss of a failure domain, or of a few servers, taken for lost links. */
    @Test
    void isNotCutOffWhenOneFailureDomainIsDark() {
        for (int i = 0; i < SERVERS; i += DOMAINS) {
            fail(i, 500);
        }
        assertThat(monitor.state()).isEqualTo(LinkState.DOUBTFUL);
    }

    /** Guards against a crash of many servers taken for lost links. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5})
    void isNotCutOffWhileAnyServerAnswers(int failuresBetweenAnswers) {
        for (int i = 0; i < 200; i++) {
            fail(i % (SERVERS - 1), 40);
            if (i % failuresBetweenAnswers == 0) {
                monitor.answered(server(SERVERS - 1), nowNanos);
            }
            assertThat(monitor.state()).isNotEqualTo(LinkState.CUT_OFF);
        }
    }

    /** Guards against resets of one moment, after which the answers are still on their way. */
    @Test
    void isNotCutOffByFailuresOfOneMoment() {
        for (int i = 0; i < SERVERS; i++) {
            fail(i, 2);
        }
        assertThat(monitor.state()).isEqualTo(LinkState.DOUBTFUL);
    }

    /** Guards against calls that are sent over links of which only one has come back. */
    @ParameterizedTest
    @CsvSource({"1, 1, CUT_OFF", "1, 5, CUT_OFF", "2, 1, CONNECTED", "4, 2, CONNECTED"})
    void returnsWhenSeveralServersAnswer(int servers, int times, LinkState expected) {
        for (int i = 0; i < SERVERS; i++) {
            fail(i, 100);
        }
        nowNanos += 3_000 * MILLI;
        for (int i = 0; i < servers * times; i++) {
            nowNanos += 100 * MILLI;
            monitor.answered(server(i % servers), nowNanos);
        }
        assertThat(monitor.state()).isEqualTo(expected);
    }

    /** Guards against a doubt that never ends, and that costs messages for as long. */
    @Test
    void doubtEndsAfterServersWereReachedForAWhile() {
        fail(0, 10);
        fail(1, 10);
        assertThat(monitor.state()).isEqualTo(LinkState.DOUBTFUL);
        nowNanos += 3_000 * MILLI;
        assertThat(monitor.expire(nowNanos).now()).isEqualTo(LinkState.CONNECTED);
    }

    /** Guards against a deployment with few servers whose loss is never noticed. */
    @Test
    void fewServersAreAllThatCanBeMissed() {
        monitor.configure(1, 1);
        fail(0, 400);
        fail(0, 400);
        assertThat(monitor.state()).isEqualTo(LinkState.CUT_OFF);
        monitor.answered(server(0), nowNanos);
        assertThat(monitor.state()).isEqualTo(LinkState.CONNECTED);
    }

    private void fail(int index, long stepMillis) {
        nowNanos += stepMillis * MILLI;
        monitor.unreachable(server(index), new FailureDomainId("d" + index % DOMAINS), nowNanos);
    }

    private static BackendServerId server(int index) {
        return new BackendServerId("b" + index);
    }
}
