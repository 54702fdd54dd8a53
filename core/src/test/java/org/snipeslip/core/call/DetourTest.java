package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipeslip.core.call.ActionsOf.refusal;
import static org.snipeslip.core.call.ActionsOf.sent;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.idempotency.ClaimEnd;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.OutboxValues;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.suspect.SuspectPeer;

/** Plays calls of an instance that has lost its links to all backend servers. */
class DetourTest {
    private static final RegionId REGION = DeploymentFixtures.regionOf(new FailureDomainId("a1"));
    private static final RegionId FAR = DeploymentFixtures.regionOf(new FailureDomainId("b1"));
    private static final long MILLI = FakeDeployment.MILLI;
    private static final long VERSION = 7;
    private static final TimerId TICK = new TimerId(EngineName.DETOUR, "links");

    private final CallEngine engine =
            new CallEngine(
                    relaying(CallSettings.DEFAULT).withRepeatsByStatus(),
                    REGION,
                    new FailureDomainId("a1"),
                    1);
    private final List<BackendServer> servers = DeploymentFixtures.servers(8, 2, "a1", "b1");
    private long nowNanos = 1_000 * MILLI;
    private int calls;

    DetourTest() {
        engine.configure(
                DeploymentFixtures.config(1, servers, Set.of()), VERSION, nowNanos, new Outbox());
        engine.setPeers(
                List.of(
                        new SuspectPeer("near-1", REGION, "127.0.0.1:1001"),
                        new SuspectPeer("near-2", REGION, "127.0.0.1:1002"),
                        new SuspectPeer("far-1", FAR, "127.0.0.1:1003")));
    }

    /** Guards against callers who are served far worse because of where they are connected. */
    @ParameterizedTest
    @CsvSource({"GET, 200", "POST, 200", "POST, 500"})
    void passesCallToAnotherInstanceWhileNoServerIsReached(String method, int status) {
        cutOff();
        Action.SendTry sent = sent(arrive(method));
        assertThat(sent.handover().version()).isEqualTo(VERSION);
        assertThat(sent.target().id().value()).startsWith("near-");
        List<Action> answered =
                handle(new Event.TryAnswered(sent.tryId(), status, LoadReport.UNKNOWN));
        assertThat(answered).contains(new Action.RelayAnswer(sent.tryId()));
        handle(new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE));
        assertThat(engine.openCalls()).isZero();
    }

    /**
     * Guards against a call that runs twice because another instance passes on a status by which
     * its caller repeats it.
     */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void answerOfAnotherInstanceThatDoesNotProveItsStatusIsNotRelayed(int status) {
        cutOff();
        Action.SendTry sent = sent(arrive("POST"));
        List<Action> answered =
                handle(new Event.TryAnswered(sent.tryId(), status, LoadReport.UNKNOWN));
        assertThat(answered).contains(new Action.CancelTry(sent.tryId()));
        assertThat(answered).noneMatch(Action.RelayAnswer.class::isInstance);
        assertThat(refusal(answered).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(refusal(answered).status()).isEqualTo(502);
        assertThat(refusal(answered).retryAfterMillis()).isZero();
        assertThat(engine.openCalls()).isZero();
    }

    /** Guards against a call that waits for its deadline although nobody can send it. */
    @Test
    void refusesCallAtOnceWhenNoInstanceIsWilling() {
        failLinks();
        List<Action> actions = arrive("POST");
        assertThat(actions).noneMatch(Action.SendTry.class::isInstance);
        assertThat(refusal(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal(actions).status()).isEqualTo(503);
        assertThat(refusal(actions).retryAfterMillis()).isPositive();
    }

    /** Guards against an unsafe call that is passed on although it may have run. */
    @ParameterizedTest
    @EnumSource(TryFailure.class)
    void passesCallToNextInstanceOnlyIfItHasNotBegun(TryFailure failure) {
        cutOff();
        Action.SendTry first = sent(arrive("POST"));
        List<Action> actions = fail(first, failure);
        if (failure.mayHaveStarted()) {
            assertThat(actions).noneMatch(Action.SendTry.class::isInstance);
            assertThat(refusal(actions).outcome()).isEqualTo(Outcome.UNKNOWN);
            assertThat(refusal(actions).status()).isNotIn(408, 421, 429, 503);
            assertThat(refusal(actions).retryAfterMillis()).isZero();
        } else {
            Action.SendTry second = sent(actions);
            assertThat(second.handover()).isNotNull();
            assertThat(second.target().id()).isNotEqualTo(first.target().id());
            assertThat(second.tryId()).isNotEqualTo(first.tryId());
        }
    }

    /** Guards against a call that goes round in circles between instances that are cut off. */
    @Test
    void callOfAnotherInstanceIsNotPassedOnAgain() {
        cutOff();
        List<Action> actions = arrive("POST", new Handover(VERSION, 1, true), null);
        assertThat(actions).noneMatch(Action.SendTry.class::isInstance);
        assertThat(refusal(actions).reason()).isEqualTo(RefusalReason.CUT_OFF);
        assertThat(refusal(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a call that is handled by an older configuration than its caller has met. */
    @ParameterizedTest
    @CsvSource({"6, true", "7, true", "8, false"})
    void callOfAnotherInstanceNeedsItsVersion(long version, boolean accepted) {
        List<Action> actions = arrive("POST", new Handover(version, 1, true), null);
        assertThat(actions.stream().anyMatch(Action.SendTry.class::isInstance)).isEqualTo(accepted);
        assertThat(engine.acceptsPassedCalls(version)).isEqualTo(accepted);
        if (!accepted) {
            assertThat(refusal(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
        }
    }

    /** Guards against a body that is sent to an instance outside the home regions. */
    @Test
    void callLeavesItsHomeRegionsToNoInstance() {
        cutOff();
        Action.SendTry sent = sent(arrive("POST", null, new OrganisationId("home-b")));
        assertThat(sent.target().id().value()).isEqualTo("far-1");
        List<Action> actions = fail(sent, TryFailure.REFUSED_NOT_RUN);
        assertThat(actions).noneMatch(Action.SendTry.class::isInstance);
        assertThat(refusal(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against work for a caller who has left. */
    @Test
    void cancelsPassedCallWhenItsCallerLeaves() {
        cutOff();
        Action.SendTry sent = sent(arrive("GET"));
        List<Action> actions = handle(new Event.CallerDisconnected(sent.tryId().request()));
        assertThat(actions).contains(new Action.CancelTry(sent.tryId()));
        assertThat(engine.openCalls()).isZero();
    }

    /** Guards against a stop that says of a passed call that it has not run. */
    @Test
    void stopEndsPassedCallWithUnknownOutcome() {
        cutOff();
        arrive("POST");
        Outbox outbox = new Outbox();
        engine.abort(nowNanos, outbox);
        assertThat(refusal(outbox.actions()).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(engine.openCalls()).isZero();
    }

    /** Guards against new connections that are refused while old ones still work. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void passesCallThatHasFoundNoServerWhileOthersAnswer(String method) {
        List<Action> actions = arrive(method);
        for (int i = 0; i < 3; i++) {
            Action.SendTry tried = sent(actions);
            assertThat(tried.handover()).isNull();
            actions = fail(tried, TryFailure.NOT_CONNECTED);
            answerPeers(actions);
            handle(
                    new Event.ProbeAnswered(
                            DeploymentFixtures.SERVICE,
                            servers.getLast().id(),
                            LoadReport.UNKNOWN,
                            1));
        }
        assertThat(sent(actions).handover()).isNotNull();
    }

    /** Guards against a claim that stays open, so that the key is refused from then on. */
    @Test
    void endsClaimOfCallThatHasFoundNoServer() {
        arrive("POST", null, null, new IdempotencyKey("key"));
        Outbox outbox = new Outbox();
        engine.claimDecided(
                new ClaimDecision.Granted(new RequestId("c" + calls)), nowNanos, outbox);
        List<Action> actions = outbox.actions();
        for (int i = 0; i < 3; i++) {
            Action.SendTry tried = sent(actions);
            assertThat(tried.handover()).isNull();
            outbox = new Outbox();
            engine.handle(
                    new Event.TryFailed(
                            tried.tryId(), TryFailure.NOT_CONNECTED, LoadReport.UNKNOWN),
                    nowNanos,
                    outbox);
            actions = outbox.actions();
            answerPeers(actions);
        }
        assertThat(refusal(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(OutboxValues.poll(outbox)).isInstanceOf(ClaimEnd.class);
    }

    /** Guards against a region with one failure domain, whose servers say nothing of the others. */
    @Test
    void triesServersOfOtherFailureDomainsWhenNoneAnswers() {
        for (BackendServer server : servers) {
            if (server.failureDomain().value().equals("a1")) {
                handle(new Event.LinkTested(server, false));
            }
        }
        nowNanos += 300 * MILLI;
        List<String> tested =
                handle(new Event.TimerFired(TICK)).stream()
                        .filter(Action.TestLink.class::isInstance)
                        .map(action -> ((Action.TestLink) action).target())
                        .map(server -> server.failureDomain().value())
                        .toList();
        assertThat(tested).contains("b1");
    }

    /** Guards against an instance that stays on the detour after its links have come back. */
    @Test
    void sendsCallsItselfAgainWhenServersAnswer() {
        cutOff();
        Outbox outbox = new Outbox();
        nowNanos += 300 * MILLI;
        engine.handle(new Event.TimerFired(TICK), nowNanos, outbox);
        List<BackendServer> tested =
                outbox.actions().stream()
                        .filter(Action.TestLink.class::isInstance)
                        .map(action -> ((Action.TestLink) action).target())
                        .toList();
        assertThat(tested).hasSizeBetween(2, 4);
        tested.forEach(server -> handle(new Event.LinkTested(server, true)));
        assertThat(sent(arrive("GET")).handover()).isNull();
        assertThat(engine.acceptsPassedCalls(VERSION)).isTrue();
    }

    /** Returns the settings of an instance that accepts calls outside their home regions. */
    private static CallSettings relaying(CallSettings from) {
        return new CallSettings(
                from.maxTries(),
                from.maxDepth(),
                from.queueLimit(),
                from.instances(),
                from.policy(),
                from.retryPercent(),
                from.hedging(),
                from.queueTargetMillis(),
                from.queueIntervalMillis(),
                from.probeSettings(),
                from.retryBurst(),
                true,
                from.repeatsByStatus());
    }

    private void failLinks() {
        for (BackendServer server : servers) {
            nowNanos += 100 * MILLI;
            handle(new Event.LinkTested(server, false));
        }
        assertThat(engine.acceptsPassedCalls(VERSION)).isFalse();
    }

    private void cutOff() {
        failLinks();
        nowNanos += 300 * MILLI;
        answerPeers(handle(new Event.TimerFired(TICK)));
    }

    private void answerPeers(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.AskDetour ask) {
                assertThat(ask.version()).isEqualTo(VERSION);
                handle(new Event.DetourAnswered(ask.address(), true));
            }
        }
    }

    private List<Action> arrive(String method) {
        return arrive(method, null, null);
    }

    private List<Action> arrive(String method, Handover handover, OrganisationId organisation) {
        return arrive(method, handover, organisation, null);
    }

    private List<Action> arrive(
            String method, Handover handover, OrganisationId organisation, IdempotencyKey key) {
        CallHead head =
                new CallHead(
                        method,
                        "h",
                        "/free",
                        organisation,
                        key,
                        "",
                        2_000 * MILLI,
                        0,
                        handover == null ? -1 : handover.retriesLeft(),
                        true,
                        RequestIdentity.UNKNOWN,
                        handover);
        return handle(new Event.CallArrived(new RequestId("c" + ++calls), head));
    }

    private List<Action> fail(Action.SendTry sent, TryFailure failure) {
        return handle(new Event.TryFailed(sent.tryId(), failure, LoadReport.UNKNOWN));
    }

    private List<Action> handle(Event event) {
        Outbox outbox = new Outbox();
        engine.handle(event, nowNanos, outbox);
        return outbox.actions();
    }
}
