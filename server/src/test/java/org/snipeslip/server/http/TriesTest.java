package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.RecordableAnswer;

/** Several tries of one call, and tries that end without an answer. */
class TriesTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private ShellFixture shell;
    private FakeBackend other;

    @BeforeEach
    void start() throws IOException {
        shell = new ShellFixture(1);
        other = new FakeBackend();
    }

    @AfterEach
    void stop() throws IOException {
        shell.close();
        other.close();
    }

    /** Guards against a hedge that mixes two answers, or a loser that goes on working. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 3\r\n"})
    void hedgeRelaysOneAnswerAndCancelsTheOtherTry(String length) throws Exception {
        shell.engine.script(TriesTest::relayAnswerOnly);
        String body = length.isEmpty() ? "" : "abc";
        try (RawSocket caller =
                shell.call("PUT / HTTP/1.1\r\nHost: h\r\n" + length + "\r\n" + body)) {
            RequestId request = shell.engine.await(Event.CallArrived.class).request();
            send(request, 1, shell.backend.server(1));
            RawSocket slow = shell.backend.acceptRequest();
            assertThat(slow.read(body.length())).isEqualTo(body);
            send(request, 2, other.server(1));
            RawSocket fast = other.acceptRequest();
            assertThat(fast.read(body.length())).isEqualTo(body);
            fast.write(OK);
            assertThat(shell.engine.await(Event.TryAnswered.class).tryId().number()).isEqualTo(2);
            shell.engine.carryOut(new Action.CancelTry(new TryId(request, 1)));
            assertThat(slow.readRest().text()).isEmpty();
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
            assertThat(caller.read(2)).isEqualTo("ok");
            shell.engine.await(Event.TryCompleted.class);
        }
    }

    /** Guards against an exception on the I/O thread for an action that came too late. */
    @Test
    void actionsForUnknownTriesHaveNoEffect() throws Exception {
        try (RawSocket caller = shell.call(ShellFixture.get("/"))) {
            RawSocket backend = shell.backend.acceptRequest();
            RequestId request = shell.engine.await(Event.CallArrived.class).request();
            shell.engine.carryOut(new Action.CancelTry(new TryId(request, 7)));
            shell.engine.carryOut(new Action.RelayAnswer(new TryId(request, 7)));
            shell.engine.carryOut(new Action.RelayAnswer(new TryId(request, 1)));
            backend.write(OK);
            caller.readHead();
            assertThat(caller.read(2)).isEqualTo("ok");
            shell.engine.await(Event.TryCompleted.class);
            shell.engine.carryOut(new Action.CancelTry(new TryId(request, 1)));
        }
    }

    /** Guards against a second try that sends a part of a body, which may run as another call. */
    @ParameterizedTest
    @CsvSource({"3, true", "65536, true", "65537, false"})
    void secondTrySendsTheWholeBodyOrNothing(int bytes, boolean replayable) throws Exception {
        shell.engine.script(TriesTest::relayAnswerOnly);
        String body = "b".repeat(bytes);
        try (RawSocket caller =
                shell.call("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bytes + "\r\n\r\n")) {
            Event.CallArrived arrived = shell.engine.await(Event.CallArrived.class);
            assertThat(arrived.head().bodyReplayable()).isEqualTo(replayable);
            send(arrived.request(), 1, shell.backend.server(1));
            caller.write(body);
            RawSocket first = shell.backend.acceptRequest();
            assertThat(first.read(bytes)).isEqualTo(body);
            first.write("HTTP/1.1 503 No\r\nSnipeslip-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            assertThat(shell.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.REFUSED_NOT_RUN);
            send(arrived.request(), 2, other.server(1));
            if (replayable) {
                RawSocket second = other.acceptRequest();
                assertThat(second.read(bytes)).isEqualTo(body);
                second.write(OK);
                assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
            } else {
                assertThat(shell.engine.await(Event.TryFailed.class).failure())
                        .isEqualTo(TryFailure.REQUEST_BODY_BROKEN);
            }
        }
    }

    /** Guards against more connections to a backend server than it allows, over all I/O threads. */
    @Test
    void connectionLimitHoldsOverAllThreads() throws Exception {
        try (RawSocket one = shell.call(ShellFixture.get("/1"))) {
            RawSocket backend = shell.backend.acceptRequest();
            for (int i = 0; i < 4; i++) {
                try (RawSocket more = shell.call(ShellFixture.get("/more"))) {
                    assertThat(shell.engine.await(Event.TryFailed.class).failure())
                            .isEqualTo(TryFailure.NO_CONNECTION_LEFT);
                    assertThat(more.readHead()).startsWith("HTTP/1.1 502 ");
                }
            }
            backend.write(OK);
            one.readHead();
            one.read(2);
            shell.engine.await(Event.TryCompleted.class);
            Thread answering = shell.backend.answerWithTarget();
            backend.close();
            for (int i = 0; i < 4; i++) {
                try (RawSocket next = shell.call(ShellFixture.get("/n"))) {
                    assertThat(next.readHead()).startsWith("HTTP/1.1 200 ");
                    shell.engine.await(Event.TryCompleted.class);
                }
            }
            answering.interrupt();
        }
    }

    /** Guards against a "not run" that is untrue, or an "unknown" where no byte was sent. */
    @Test
    void refusedConnectionIsNotConnected() throws Exception {
        shell.backend.close();
        try (RawSocket caller = shell.call(ShellFixture.get("/"))) {
            assertThat(shell.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.NOT_CONNECTED);
            caller.readHead();
        }
    }

    /** Guards against a try that outlives its deadline, before or within its response. */
    @ParameterizedTest
    @CsvSource({"'', TIMED_OUT", "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab', BROKEN_BODY"})
    void deadlineEndsTheTry(String response, TryFailure expected) throws Exception {
        shell.engine.script(TriesTest::relayAnswerOnly);
        try (RawSocket caller = shell.call(ShellFixture.get("/"))) {
            RequestId request = shell.engine.await(Event.CallArrived.class).request();
            TryId tryId = new TryId(request, 1);
            ServiceId service = new ServiceId("s");
            BackendServer server = shell.backend.server(1);
            shell.engine.carryOut(
                    new Action.SendTry(tryId, service, server, 300_000_000L, 0, false));
            RawSocket backend = shell.backend.acceptRequest();
            backend.write(response);
            assertThat(shell.engine.await(Event.TryFailed.class).failure()).isEqualTo(expected);
            assertThat(backend.readRest().text()).isEmpty();
        }
    }

    /** Guards against a duplicate that gets another answer than the first submission. */
    @Test
    void recordedAnswerIsReplayed() throws Exception {
        RecordableAnswer answer = new RecordableAnswer(201, "text/plain", "aGk=", true);
        shell.engine.script(
                event ->
                        event instanceof Event.CallArrived arrived
                                ? List.of(new Action.ReplayAnswer(arrived.request(), answer))
                                : List.of());
        try (RawSocket caller = shell.call(ShellFixture.get("/"))) {
            assertThat(caller.readHead())
                    .startsWith("HTTP/1.1 201 ")
                    .contains("Content-Type: text/plain", "Snipeslip-Replayed: 1");
            assertThat(caller.read(2)).isEqualTo("hi");
        }
    }

    private void send(RequestId request, int number, BackendServer server) {
        shell.engine.carryOut(ScriptedEngine.send(request, number, server));
    }

    private static List<Action> relayAnswerOnly(Event event) {
        return event instanceof Event.TryAnswered answered
                ? List.of(new Action.RelayAnswer(answered.tryId()))
                : List.of();
    }
}
