package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipeslip.core.call.ActionsOf.refusal;
import static org.snipeslip.core.call.ActionsOf.sent;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;

/** Plays calls whose server leaves service after it was chosen and before it gets the request. */
class SendCheckTest {
    private final CallEngine engine =
            new CallEngine(CallSettings.DEFAULT, new RegionId("a"), new FailureDomainId("a1"), 1);
    private long nowNanos = 1_000_000;
    private int generation;
    private int calls;

    /** Guards against a request that reaches a server long after the server has left. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void tryIsNotSentToServerThatHasLeft(Departure departure) {
        configure(servers(), Set.of());
        Action.SendTry first = sent(arrive("POST"));
        assertThat(engine.maySend(first.tryId())).isTrue();

        leave(first, departure);

        assertThat(engine.maySend(first.tryId())).isEqualTo(departure == Departure.NONE);
    }

    /** Guards against a call that fails although another server could serve it. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void callGoesToAnotherServer(String method) {
        configure(servers(), Set.of());
        Action.SendTry first = sent(arrive(method));
        leave(first, Departure.DRAINING);
        Action.SendTry second = sent(serverLeft(first));
        assertThat(second.target().id()).isNotEqualTo(first.target().id());
        assertThat(engine.maySend(second.tryId())).isTrue();
        assertThat(engine.maySend(first.tryId())).isFalse();
    }

    /** Guards against a call that waits for its deadline when the last server has left. */
    @Test
    void callIsRefusedAsNotRunWithoutAnotherServer() {
        List<BackendServer> one = List.of(DeploymentFixtures.server(0, 1, false));
        configure(one, Set.of());
        Action.SendTry first = sent(arrive("POST"));
        configure(List.of(DeploymentFixtures.server(0, 1, true)), Set.of());
        Refusal refusal = refusal(serverLeft(first));
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
        assertThat(refusal.status()).isEqualTo(503);
        assertThat(refusal.retryAfterMillis()).isPositive();
    }

    /** Guards against a try of a call that has ended. */
    @Test
    void tryOfEndedCallIsNotSent() {
        configure(servers(), Set.of());
        Action.SendTry first = sent(arrive("GET"));
        handle(new Event.CallerDisconnected(first.tryId().request()));
        assertThat(engine.maySend(first.tryId())).isFalse();
    }

    private void leave(Action.SendTry sent, Departure departure) {
        List<BackendServer> now = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            BackendServer before = DeploymentFixtures.server(i, 1, false);
            if (!before.id().equals(sent.target().id())) {
                now.add(before);
            } else if (departure != Departure.REMOVED) {
                long incarnation = departure == Departure.RESTARTED ? 2 : 1;
                now.add(DeploymentFixtures.server(i, incarnation, departure == Departure.DRAINING));
            }
        }
        configure(now, departure == Departure.EVACUATED ? Set.of("a1") : Set.of());
    }

    private List<Action> serverLeft(Action.SendTry sent) {
        return handle(
                new Event.TryFailed(sent.tryId(), TryFailure.SERVER_LEFT, LoadReport.UNKNOWN));
    }

    private void configure(List<BackendServer> servers, Set<String> outOfService) {
        engine.configure(
                DeploymentFixtures.config(++generation, servers, outOfService),
                nowNanos,
                new Outbox());
    }

    private static List<BackendServer> servers() {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(DeploymentFixtures.server(i, 1, false));
        }
        return servers;
    }

    private List<Action> arrive(String method) {
        CallHead head =
                new CallHead(method, "h", "/free", null, null, "", 0, 0, -1, true, null, null);
        return handle(new Event.CallArrived(new RequestId("c" + ++calls), head));
    }

    private List<Action> handle(Event event) {
        Outbox outbox = new Outbox();
        engine.handle(event, nowNanos, outbox);
        return outbox.actions();
    }

    /** How a server leaves service. */
    private enum Departure {
        NONE,
        DRAINING,
        REMOVED,
        RESTARTED,
        EVACUATED
    }
}
