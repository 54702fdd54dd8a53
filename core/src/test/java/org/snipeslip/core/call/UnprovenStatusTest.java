package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipeslip.core.call.ActionsOf.refusal;
import static org.snipeslip.core.call.ActionsOf.sent;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;

/**
 * Guards against a call that runs twice because its caller repeats it after a status that a backend
 * server has chosen although the call has run.
 */
class UnprovenStatusTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final List<BackendServer> servers = DeploymentFixtures.servers(3, 2, "a1");
    private long nowNanos = SECOND_NANOS;
    private int calls;

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void statusThatStatesThatAnUnsafeCallHasNotRunIsNotRelayed(int status) {
        CallEngine engine = engine(CallSettings.DEFAULT.withRepeatsByStatus());
        Action.SendTry sent = sent(arrive(engine, "POST"));
        List<Action> answered = answer(engine, sent, status);
        assertThat(answered).contains(new Action.CancelTry(sent.tryId()));
        assertThat(answered).noneMatch(Action.RelayAnswer.class::isInstance);
        assertThat(answered).noneMatch(Action.SendTry.class::isInstance);
        assertThat(refusal(answered).status()).isEqualTo(502);
        assertThat(refusal(answered).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(refusal(answered).reason()).isEqualTo(RefusalReason.NOT_RUN_UNPROVEN);
        assertThat(refusal(answered).retryAfterMillis()).isZero();
        assertThat(engine.openCalls()).isZero();
        assertThat(handle(engine, completed(sent)))
                .as("late end of the response")
                .noneMatch(Action.RefuseCaller.class::isInstance);
    }

    @ParameterizedTest
    @CsvSource({
        "POST, 200, true",
        "POST, 404, true",
        "POST, 409, true",
        "POST, 500, true",
        "POST, 502, true",
        "POST, 504, true",
        "GET, 503, true",
        "GET, 429, true",
        "POST, 503, false",
        "POST, 429, false",
    })
    void everyOtherResponseIsRelayed(String method, int status, boolean repeatsByStatus) {
        CallSettings settings = CallSettings.DEFAULT;
        CallEngine engine = engine(repeatsByStatus ? settings.withRepeatsByStatus() : settings);
        Action.SendTry sent = sent(arrive(engine, method));
        assertThat(answer(engine, sent, status)).contains(new Action.RelayAnswer(sent.tryId()));
        handle(engine, completed(sent));
        assertThat(engine.openCalls()).isZero();
    }

    /** Guards against a server that keeps its slots in the books for calls that have ended. */
    @ParameterizedTest
    @ValueSource(ints = {429, 503})
    void refusedCallsLeaveNoLoadBehind(int status) {
        CallEngine engine = engine(CallSettings.DEFAULT.withRepeatsByStatus());
        for (int i = 0; i < 500; i++) {
            nowNanos += SECOND_NANOS;
            answer(engine, sent(arrive(engine, "POST")), status);
        }
        assertThat(engine.openCalls()).isZero();
        nowNanos += 100 * SECOND_NANOS;
        assertThat(arrive(engine, "POST")).anyMatch(Action.SendTry.class::isInstance);
    }

    private CallEngine engine(CallSettings settings) {
        CallEngine engine =
                new CallEngine(settings, new RegionId("a"), new FailureDomainId("a1"), 1);
        engine.configure(DeploymentFixtures.config(1, servers, Set.of()), nowNanos, new Outbox());
        return engine;
    }

    private List<Action> arrive(CallEngine engine, String method) {
        CallHead head = new CallHead(method, "h", "/free", null, null, "f", 0, 0, -1, true);
        return handle(engine, new Event.CallArrived(new RequestId("c" + calls++), head));
    }

    private List<Action> answer(CallEngine engine, Action.SendTry sent, int status) {
        return handle(engine, new Event.TryAnswered(sent.tryId(), status, LoadReport.UNKNOWN));
    }

    private static Event completed(Action.SendTry sent) {
        return new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE);
    }

    private List<Action> handle(CallEngine engine, Event event) {
        Outbox outbox = new Outbox();
        engine.handle(event, ++nowNanos, outbox);
        return outbox.actions();
    }
}
