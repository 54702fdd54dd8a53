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

/** Tests calls with several tries, and tries that end without a response. */
class BackendTryTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private HttpFixture fixture;
    private FakeBackend other;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture(1);
        other = new FakeBackend();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        other.close();
    }

    /** Guards against a slow upload that reaches a server long after the server has left. */
    @ParameterizedTest
    @CsvSource({"'Content-Length: 6', 'def'", "'Content-Length: 6', ''"})
    void serverThatLeavesBeforeTheBodyIsThereGetsNothing(String field, String rest)
            throws Exception {
        fixture.engine.script(BackendTryTest::relayAnswerOnly);
        String body = rest.isEmpty() ? "abcdef" : "abc";
        try (RawSocket caller =
                fixture.call("PUT / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n" + body)) {
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            TryId first = new TryId(request, 1);
            if (rest.isEmpty()) {
                fixture.engine.withdrawn.add(first);
                send(request, 1, fixture.backend.server(1));
            } else {
                send(request, 1, fixture.backend.server(1));
                fixture.engine.withdrawn.add(first);
                caller.write(rest);
            }
            Event.TryFailed failed = fixture.engine.await(Event.TryFailed.class);
            assertThat(failed.failure()).isEqualTo(TryFailure.SERVER_LEFT);
            assertThat(failed.failure().mayHaveSent()).isFalse();
            assertThat(failed.failure().mayHaveStarted()).isFalse();
            send(request, 2, other.server(1));
            RawSocket next = other.acceptRequest();
            assertThat(next.read(6)).isEqualTo("abcdef");
            next.write(OK);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
        }
    }

    /** Guards against a server that is handed the time that its request took to arrive. */
    @Test
    void timeOfTheUploadIsNotHandedToTheServer() throws Exception {
        fixture.engine.script(BackendTryTest::relayAnswerOnly);
        try (RawSocket caller =
                fixture.call("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc")) {
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            Action.SendTry sent = ScriptedEngine.send(request, 1, fixture.backend.server(1));
            fixture.engine.execute(sent);
            long sentNanos = System.nanoTime();
            while (System.nanoTime() - sentNanos < 200_000_000) {
                Thread.onSpinWait();
            }
            caller.write("def");
            RawSocket connection = fixture.backend.accept();
            String field = SnipeslipHeaders.DEADLINE_MILLIS + ": ";
            String head = connection.readHead();
            String value = head.substring(head.indexOf(field) + field.length()).split("\r")[0];
            assertThat(Long.parseLong(value)).isLessThan(sent.remainingNanos() / 1_000_000 - 150);
        }
    }

    /** Guards against a hedged call that mixes two responses or does not cancel the slower try. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 3\r\n"})
    void hedgedCallRelaysOneResponseAndCancelsTheOtherTry(String length) throws Exception {
        fixture.engine.script(BackendTryTest::relayAnswerOnly);
        String body = length.isEmpty() ? "" : "abc";
        try (RawSocket caller =
                fixture.call("PUT / HTTP/1.1\r\nHost: h\r\n" + length + "\r\n" + body)) {
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            send(request, 1, fixture.backend.server(1));
            RawSocket slow = fixture.backend.acceptRequest();
            assertThat(slow.read(body.length())).isEqualTo(body);
            send(request, 2, other.server(1));
            RawSocket fast = other.acceptRequest();
            assertThat(fast.read(body.length())).isEqualTo(body);
            fast.write(OK);
            assertThat(fixture.engine.await(Event.TryAnswered.class).tryId().number()).isEqualTo(2);
            fixture.engine.execute(new Action.CancelTry(new TryId(request, 1)));
            assertThat(slow.readRest().text()).isEmpty();
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
            assertThat(caller.read(2)).isEqualTo("ok");
            fixture.engine.await(Event.TryCompleted.class);
        }
    }

    /** Guards against an exception on the I/O thread when an action arrives too late. */
    @Test
    void actionsForUnknownTriesHaveNoEffect() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            fixture.engine.execute(new Action.CancelTry(new TryId(request, 7)));
            fixture.engine.execute(new Action.RelayAnswer(new TryId(request, 7)));
            fixture.engine.execute(new Action.RelayAnswer(new TryId(request, 1)));
            backend.write(OK);
            caller.readHead();
            assertThat(caller.read(2)).isEqualTo("ok");
            fixture.engine.await(Event.TryCompleted.class);
            fixture.engine.execute(new Action.CancelTry(new TryId(request, 1)));
        }
    }

    /**
     * Guards against a second try that sends only part of a body, which may run as a different
     * call.
     */
    @ParameterizedTest
    @CsvSource({"3, true", "65536, true", "65537, false"})
    void secondTrySendsTheWholeBodyOrNothing(int bytes, boolean replayable) throws Exception {
        fixture.engine.script(BackendTryTest::relayAnswerOnly);
        String body = "b".repeat(bytes);
        try (RawSocket caller =
                fixture.call(
                        "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bytes + "\r\n\r\n")) {
            Event.CallArrived arrived = fixture.engine.await(Event.CallArrived.class);
            assertThat(arrived.head().bodyReplayable()).isEqualTo(replayable);
            send(arrived.request(), 1, fixture.backend.server(1));
            caller.write(body);
            RawSocket first = fixture.backend.acceptRequest();
            assertThat(first.read(bytes)).isEqualTo(body);
            first.write("HTTP/1.1 503 No\r\nSnipeslip-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.REFUSED_NOT_RUN);
            send(arrived.request(), 2, other.server(1));
            if (replayable) {
                RawSocket second = other.acceptRequest();
                assertThat(second.read(bytes)).isEqualTo(body);
                second.write(OK);
                assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
            } else {
                assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                        .isEqualTo(TryFailure.REQUEST_BODY_BROKEN);
            }
        }
    }

    /**
     * Guards against I/O threads that together open more connections than a backend server allows.
     */
    @Test
    void connectionLimitAppliesToAllThreadsTogether() throws Exception {
        try (RawSocket one = fixture.call(HttpFixture.get("/1"))) {
            RawSocket backend = fixture.backend.acceptRequest();
            for (int i = 0; i < 4; i++) {
                try (RawSocket more = fixture.call(HttpFixture.get("/more"))) {
                    assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                            .isEqualTo(TryFailure.NO_CONNECTION_LEFT);
                    assertThat(more.readHead()).startsWith("HTTP/1.1 502 ");
                }
            }
            backend.write(OK);
            one.readHead();
            one.read(2);
            awaitIdle(one);
            Thread answering = fixture.backend.startRespondingWithTargets();
            Thread.ofVirtual().start(() -> FakeBackend.respondWithTargets(backend));
            for (int i = 0; i < 4; i++) {
                try (RawSocket next = fixture.call(HttpFixture.get("/n"))) {
                    assertThat(next.readHead()).startsWith("HTTP/1.1 200 ");
                    assertThat(next.read(2)).isEqualTo("/n");
                    awaitIdle(next);
                }
            }
            answering.interrupt();
        }
    }

    /**
     * Waits until the backend connection is back in the pool, one task after its response. The I/O
     * thread responds to another request on the same caller connection only after that task.
     */
    private static void awaitIdle(RawSocket caller) throws IOException {
        caller.write("GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n");
        assertThat(caller.readHead()).startsWith("HTTP/1.1 417 ");
    }

    /** Guards against a wrong "not run", and against "unknown" although no byte was sent. */
    @Test
    void refusedConnectionIsNotConnected() throws Exception {
        fixture.backend.close();
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            assertThat(fixture.engine.await(Event.TryFailed.class).failure())
                    .isEqualTo(TryFailure.NOT_CONNECTED);
            caller.readHead();
        }
    }

    /** Guards against a try that continues after its deadline, before or during its response. */
    @ParameterizedTest
    @CsvSource({"'', TIMED_OUT", "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab', BROKEN_BODY"})
    void deadlineEndsTheTry(String response, TryFailure expected) throws Exception {
        fixture.engine.script(BackendTryTest::relayAnswerOnly);
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            RequestId request = fixture.engine.await(Event.CallArrived.class).request();
            TryId tryId = new TryId(request, 1);
            ServiceId service = new ServiceId("s");
            BackendServer server = fixture.backend.server(1);
            fixture.engine.execute(
                    new Action.SendTry(tryId, service, server, 300_000_000L, 0, false));
            RawSocket backend = fixture.backend.acceptRequest();
            backend.write(response);
            assertThat(fixture.engine.await(Event.TryFailed.class).failure()).isEqualTo(expected);
            assertThat(backend.readRest().text()).isEmpty();
        }
    }

    /** Guards against a duplicate that gets a different response than the first submission. */
    @Test
    void recordedAnswerIsReplayed() throws Exception {
        RecordableAnswer answer = new RecordableAnswer(201, "text/plain", "aGk=", true);
        fixture.engine.script(
                event ->
                        event instanceof Event.CallArrived arrived
                                ? List.of(new Action.ReplayAnswer(arrived.request(), answer))
                                : List.of());
        try (RawSocket caller = fixture.call(HttpFixture.get("/"))) {
            assertThat(caller.readHead())
                    .startsWith("HTTP/1.1 201 ")
                    .contains("Content-Type: text/plain", "Snipeslip-Replayed: 1");
            assertThat(caller.read(2)).isEqualTo("hi");
        }
    }

    private void send(RequestId request, int number, BackendServer server) {
        fixture.engine.execute(ScriptedEngine.send(request, number, server));
    }

    private static List<Action> relayAnswerOnly(Event event) {
        return event instanceof Event.TryAnswered answered
                ? List.of(new Action.RelayAnswer(answered.tryId()))
                : List.of();
    }
}
