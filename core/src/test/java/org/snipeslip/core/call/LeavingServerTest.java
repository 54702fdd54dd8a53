package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipeslip.core.call.ActionsOf.refusal;
import static org.snipeslip.core.call.ActionsOf.sent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;

/** Plays backend servers that say in their responses that they will end. */
class LeavingServerTest {
    private static final LoadReport LEAVING = LoadReport.UNKNOWN.withLeaving(true);
    private static final RequestDigest DIGEST = new RequestDigest(1, 1);
    private static final long SECOND = 1_000_000_000;

    private final CallEngine engine =
            new CallEngine(CallSettings.DEFAULT, new RegionId("a"), new FailureDomainId("a1"), 1);
    private long nowNanos = SECOND;
    private int generation;
    private int calls;

    /** Guards against a word that counts only in some responses, or in those that are not whole. */
    @ParameterizedTest
    @EnumSource(Word.class)
    void wordCountsInEachWholeResponse(Word word) {
        configure(servers(1));
        nowNanos += SECOND;
        BackendServerId server = say(word);
        nowNanos += 10 * SECOND;
        assertThat(isUsed(server)).isNotEqualTo(word.counts);
    }

    /** Guards against a list, an event or a store that takes the word back. */
    @ParameterizedTest
    @ValueSource(strings = {"listed again", "removed and listed", "removed for minutes", "moved"})
    void wordHoldsForTheLifeOfTheIncarnation(String change) {
        configure(servers(1));
        BackendServerId server = say(Word.SUCCESS);
        switch (change) {
            case "removed and listed" -> configure(without(server));
            case "removed for minutes" -> {
                configure(without(server));
                nowNanos += 300 * SECOND;
                configure(without(server));
            }
            case "moved" ->
                    engine.configure(
                            DeploymentFixtures.config(++generation, servers(1), Set.of("a1")),
                            nowNanos,
                            new Outbox());
            default -> nowNanos += 60 * SECOND;
        }
        configure(servers(1));
        assertThat(isUsed(server)).isFalse();
    }

    /** Guards against a new start of a server that is taken for the one that has left. */
    @ParameterizedTest
    @CsvSource({"2, true", "1, false"})
    void newIncarnationStartsWithoutTheWord(long incarnation, boolean used) {
        configure(servers(1));
        BackendServerId server = say(Word.SUCCESS);
        configure(servers(incarnation));
        nowNanos += 60 * SECOND;
        assertThat(isUsed(server)).isEqualTo(used);
        configure(servers(1));
        assertThat(isUsed(server)).isFalse();
    }

    /** Guards against the late word of a former start, which says nothing of the present one. */
    @Test
    void wordOfFormerIncarnationSaysNothingOfThePresentOne() {
        configure(servers(1));
        Action.SendTry sent = sent(arrive());
        BackendServerId server = sent.target().id();
        configure(servers(2));
        handle(new Event.TryAnswered(sent.tryId(), 200, LEAVING));
        handle(new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE));
        handle(new Event.ProbeAnswered(DeploymentFixtures.SERVICE, server, LEAVING, 1));
        nowNanos += 60 * SECOND;
        assertThat(isUsed(server)).isTrue();
    }

    /** Guards against a server whose start is unknown and that is lost for good. */
    @Test
    void wordOfServerWithoutKnownStartCountsForNothing() {
        configure(servers(0));
        assertThat(isUsed(say(Word.SUCCESS))).isTrue();
    }

    /** Guards against a chosen server that gets a request after its word. */
    @Test
    void callThatIsNotSentYetGoesElsewhere() {
        configure(servers(1));
        nowNanos += SECOND;
        List<Action.SendTry> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waiting.add(sent(arrive()));
        }
        BackendServerId server = waiting.getFirst().target().id();
        handle(new Event.ProbeAnswered(DeploymentFixtures.SERVICE, server, LEAVING, 1));
        for (Action.SendTry each : waiting) {
            assertThat(engine.maySend(each.tryId()))
                    .isNotEqualTo(each.target().id().equals(server));
        }
    }

    /** Guards against requests that are cut because their server says that it leaves. */
    @Test
    void callsOnTheirWayAreNotCut() {
        configure(List.of(DeploymentFixtures.server(0, 1, false)));
        nowNanos += SECOND;
        sent(arrive());
        List<Action> actions =
                handle(
                        new Event.ProbeAnswered(
                                DeploymentFixtures.SERVICE,
                                DeploymentFixtures.server(0, 1, false).id(),
                                LoadReport.UNKNOWN.withLeaving(true),
                                1));
        assertThat(actions).hasAtLeastOneElementOfType(Action.ServerLeaving.class);
        assertThat(actions)
                .noneMatch(Action.CancelTry.class::isInstance)
                .noneMatch(Action.RefuseCaller.class::isInstance);
    }

    /** Guards against calls that wait for their deadline when the last server leaves. */
    @Test
    void callsAreRefusedAtOnceWhenTheLastServerLeaves() {
        configure(List.of(DeploymentFixtures.server(0, 1, false)));
        Action.SendTry first = sent(arrive());
        List<Action> queued = List.of();
        while (queued.stream().noneMatch(LeavingServerTest::isQueued)) {
            queued = arrive();
        }
        List<Action> actions = new ArrayList<>();
        actions.addAll(handle(new Event.TryAnswered(first.tryId(), 200, LEAVING)));
        actions.addAll(handle(new Event.TryCompleted(first.tryId(), RecordableAnswer.NONE)));
        for (Refusal refusal : List.of(refusal(actions), refusal(arrive()))) {
            assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(refusal.status()).isEqualTo(503);
            assertThat(refusal.retryAfterMillis()).isPositive();
        }
    }

    /** Guards against a memory that grows with each server that ever left. */
    @Test
    void memoryIsBoundedAndEnds() {
        LeavingServers leaving = new LeavingServers();
        for (int i = 0; i < 10_000; i++) {
            leaving.add(DeploymentFixtures.server(i, 1, false), nowNanos);
        }
        assertThat(leaving.size()).isEqualTo(4_096);
        assertThat(leaving.isLeaving(DeploymentFixtures.server(9_999, 1, false), nowNanos))
                .isTrue();
        assertThat(leaving.isLeaving(DeploymentFixtures.server(0, 1, false), nowNanos)).isFalse();
        nowNanos += 400 * SECOND;
        assertThat(leaving.isLeaving(DeploymentFixtures.server(9_000, 1, false), nowNanos))
                .isTrue();
        nowNanos += 400 * SECOND;
        leaving.expire(nowNanos);
        assertThat(leaving.size()).isEqualTo(1);
    }

    /** Lets one server say that it leaves. */
    private BackendServerId say(Word word) {
        Action.SendTry sent = sent(arrive());
        BackendServerId server = sent.target().id();
        switch (word) {
            case SUCCESS, ERROR, NOT_FOUND -> {
                handle(new Event.TryAnswered(sent.tryId(), word.status, LEAVING));
                handle(new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE));
            }
            case REFUSAL ->
                    handle(new Event.TryFailed(sent.tryId(), TryFailure.REFUSED_NOT_RUN, LEAVING));
            case PROBE ->
                    handle(new Event.ProbeAnswered(DeploymentFixtures.SERVICE, server, LEAVING, 1));
            case BROKEN, MALFORMED_BODY -> {
                handle(new Event.TryAnswered(sent.tryId(), 200, LEAVING));
                TryFailure failure =
                        word == Word.BROKEN ? TryFailure.BROKEN_BODY : TryFailure.MALFORMED_BODY;
                handle(new Event.TryFailed(sent.tryId(), failure, LoadReport.UNKNOWN));
            }
            default ->
                    handle(
                            new Event.TryFailed(
                                    sent.tryId(), TryFailure.MALFORMED, LoadReport.UNKNOWN));
        }
        return server;
    }

    /** Returns whether a server gets one of more calls than all servers take at once. */
    private boolean isUsed(BackendServerId server) {
        Deque<Action.SendTry> open = new ArrayDeque<>();
        for (int i = 0; i < 30; i++) {
            nowNanos += SECOND / 1_000;
            addSent(arrive(), open);
        }
        boolean used = false;
        while (!open.isEmpty()) {
            Action.SendTry sent = open.remove();
            used |= sent.target().id().equals(server);
            handle(new Event.TryAnswered(sent.tryId(), 200, LoadReport.UNKNOWN));
            addSent(handle(new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE)), open);
        }
        return used;
    }

    private static void addSent(List<Action> actions, Deque<Action.SendTry> open) {
        for (Action action : actions) {
            if (action instanceof Action.SendTry sent) {
                open.add(sent);
            }
        }
    }

    private static boolean isQueued(Action action) {
        return action instanceof Action.RecordDecision recorded
                && recorded.decision().kind() == DecisionRecord.Kind.QUEUED;
    }

    private void configure(List<BackendServer> servers) {
        engine.configure(
                DeploymentFixtures.config(++generation, servers, Set.of()), nowNanos, new Outbox());
    }

    private static List<BackendServer> servers(long incarnation) {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(DeploymentFixtures.server(i, incarnation, false));
        }
        return servers;
    }

    private static List<BackendServer> without(BackendServerId server) {
        return servers(1).stream().filter(each -> !each.id().equals(server)).toList();
    }

    private List<Action> arrive() {
        CallHead head =
                new CallHead(
                        "GET", "h", "/free", null, null, "", 0, 0, -1, true, () -> DIGEST, null);
        return handle(new Event.CallArrived(new RequestId("c" + ++calls), head));
    }

    private List<Action> handle(Event event) {
        Outbox outbox = new Outbox();
        engine.handle(event, nowNanos, outbox);
        return outbox.actions();
    }

    /** A response with the word. */
    private enum Word {
        SUCCESS(200, true),
        ERROR(500, true),
        NOT_FOUND(404, true),
        REFUSAL(503, true),
        PROBE(200, true),
        BROKEN(200, false),
        MALFORMED_BODY(200, false),
        MALFORMED(200, false);

        private final int status;
        private final boolean counts;

        Word(int status, boolean counts) {
            this.status = status;
            this.counts = counts;
        }
    }
}
