package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.probe.ProbeSettings;
import org.snipeslip.core.selection.PolicyName;

/**
 * Guards against calls beyond the limit of a cold server that has become cold while it is in use,
 * which only its responses say at first.
 */
class ColdReportTest {
    private static final long SECOND_NANOS = 1_000 * FakeDeployment.MILLI;
    private static final int SERVERS = 8;
    private static final int CALLS_PER_SECOND = 11;
    private static final WarmUpPlan PLAN =
            new WarmUpPlan(WarmUpPlan.WARM, 3 * SECOND_NANOS, CALLS_PER_SECOND);
    private static final CallSettings SETTINGS =
            CallSettings.DEFAULT.withPolicy(PolicyName.PROBED).withProbeSettings(ProbeSettings.OFF);

    @ParameterizedTest
    @CsvSource({"1, 200", "3, 60", "4, 400", "17, 200", "17, 1500", "60, 600", "153, 2000"})
    void instancesTogetherKeepTheLimitFromTheFirstReport(int instances, double callsPerSecond) {
        LoadedDeployment deployment = start(instances);
        load(deployment, callsPerSecond, 3);
        for (int round = 0; round < 4; round++) {
            FakeServer server = deployment.server("s" + round);
            long coldNanos = deployment.nowNanos();
            server.coldUntilNanos = coldNanos + 3 * SECOND_NANOS;
            server.slowFactor = 2;
            load(deployment, callsPerSecond, 3);
            server.slowFactor = 1;
            assertThat(mostInOneSecond(server, coldNanos))
                    .as("calls to s%d in a second", round)
                    .isLessThanOrEqualTo(CALLS_PER_SECOND);
        }
        load(deployment, callsPerSecond, 2);
        long warmNanos = deployment.nowNanos();
        load(deployment, callsPerSecond, 2);
        assertThat(mostInOneSecond(deployment.server("s0"), warmNanos))
                .as("calls after the cold period")
                .isGreaterThan(0);
    }

    /** Guards against a report that counts in some responses only. */
    @ParameterizedTest
    @EnumSource
    void everyResponseOfTheServerMayReportThatItIsCold(Response response) {
        BackendServer coldServer = cold(DeploymentFixtures.server(0, 1, false));
        CallEngine engine = engineOf(coldServer);
        BackendServerId server = coldServer.id();
        long nowNanos = SECOND_NANOS;
        LoadReport report = response.report();
        List<Action> actions = new ArrayList<>();
        switch (response) {
            case PROBE, PROBE_WITHOUT_LOAD, UNHEALTHY_PROBE ->
                    actions.addAll(handle(engine, probeAnswered(server, report), nowNanos));
            default -> {
                Action.SendTry sent = call(engine, server, 0, nowNanos);
                actions.addAll(
                        handle(
                                engine,
                                response == Response.REFUSAL
                                        ? new Event.TryFailed(
                                                sent.tryId(), TryFailure.REFUSED_NOT_RUN, report)
                                        : new Event.TryAnswered(sent.tryId(), 200, report),
                                nowNanos));
                handle(
                        engine,
                        new Event.TryCompleted(sent.tryId(), RecordableAnswer.NONE),
                        nowNanos);
            }
        }
        assertThat(actions).hasAtLeastOneElementOfType(Action.ServerCold.class);
        boolean byCall = response == Response.ANSWER || response == Response.REFUSAL;
        assertThat(callsWithin30Millis(engine, server, nowNanos))
                .isEqualTo(CALLS_PER_SECOND - (byCall ? 1 : 0));
    }

    /** Guards against a late response that ends a cold period which a newer one has reported. */
    @Test
    void shorterTimeDoesNotEndTheColdPeriod() {
        BackendServer coldServer = cold(DeploymentFixtures.server(0, 1, false));
        CallEngine engine = engineOf(coldServer);
        BackendServerId server = coldServer.id();
        handle(engine, probeAnswered(server, idle().withColdMillis(3_000)), SECOND_NANOS);
        handle(engine, probeAnswered(server, idle().withColdMillis(1)), SECOND_NANOS);
        assertThat(callsWithin30Millis(engine, server, SECOND_NANOS + 10 * FakeDeployment.MILLI))
                .isEqualTo(CALLS_PER_SECOND);
    }

    private static CallEngine engineOf(BackendServer server) {
        CallEngine engine =
                new CallEngine(SETTINGS, new RegionId("a"), new FailureDomainId("a1"), 1);
        engine.setInstanceShare(InstanceShareTest.shares(1, 1).getFirst());
        engine.configure(DeploymentFixtures.config(1, List.of(server), Set.of()), 1, new Outbox());
        return engine;
    }

    private static int callsWithin30Millis(
            CallEngine engine, BackendServerId server, long fromNanos) {
        int sent = 0;
        for (int i = 1; i <= 30; i++) {
            sent += call(engine, server, i, fromNanos + i * FakeDeployment.MILLI) == null ? 0 : 1;
        }
        return sent;
    }

    private static Action.SendTry call(
            CallEngine engine, BackendServerId server, int number, long nowNanos) {
        CallHead head = DeploymentFixtures.get("/free", null);
        List<Action> actions =
                new ArrayList<>(
                        handle(
                                engine,
                                new Event.CallArrived(
                                        new org.snipeslip.core.id.RequestId("c" + number), head),
                                nowNanos));
        actions.addAll(handle(engine, probeAnswered(server, idle()), nowNanos));
        return actions.stream()
                .filter(Action.SendTry.class::isInstance)
                .map(Action.SendTry.class::cast)
                .findFirst()
                .orElse(null);
    }

    private static List<Action> handle(CallEngine engine, Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        engine.handle(event, nowNanos, outbox);
        return outbox.actions();
    }

    private static Event probeAnswered(BackendServerId server, LoadReport report) {
        return new Event.ProbeAnswered(DeploymentFixtures.SERVICE, server, report, 1);
    }

    private static LoadReport idle() {
        return new LoadReport(0, 1_000, false, false);
    }

    private static LoadedDeployment start(int instances) {
        LoadedDeployment deployment =
                new LoadedDeployment(SETTINGS, instances, 7, DeploymentFixtures.DOMAINS);
        List<InstanceShare> shares = InstanceShareTest.shares(instances, 3);
        for (int i = 0; i < instances; i++) {
            deployment.engines.get(i).setInstanceShare(shares.get(i));
        }
        List<BackendServer> servers =
                DeploymentFixtures.servers(SERVERS, 4, DeploymentFixtures.DOMAINS).stream()
                        .map(ColdReportTest::cold)
                        .toList();
        deployment.configure(DeploymentFixtures.config(1, servers, Set.of()));
        // The warm-up of new servers has ended by then.
        deployment.runFor(5 * SECOND_NANOS);
        return deployment;
    }

    private static BackendServer cold(BackendServer server) {
        return new BackendServer(
                server.id(),
                server.host(),
                server.port(),
                server.failureDomain(),
                server.slots(),
                server.connectionLimit(),
                server.draining(),
                1,
                PLAN);
    }

    private static void load(LoadedDeployment deployment, double callsPerSecond, int seconds) {
        List<CallHead> mix = List.of(DeploymentFixtures.get("/free", null));
        deployment.load(callsPerSecond, seconds * SECOND_NANOS, mix);
    }

    /** Counts what callers sent after a time and what arrived within a second of it. */
    private static int mostInOneSecond(FakeServer server, long fromNanos) {
        int most = 0;
        for (int first = 0; first < server.sentNanos.size(); first++) {
            long startNanos = server.sentNanos.get(first);
            int count = 0;
            for (int i = 0; i < server.sentNanos.size() && startNanos >= fromNanos; i++) {
                boolean inside =
                        server.sentNanos.get(i) >= startNanos
                                && server.arrivedNanos.get(i) < startNanos + SECOND_NANOS;
                count += inside ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }

    /** A response that reports that its server is cold. */
    private enum Response {
        PROBE,
        PROBE_WITHOUT_LOAD,
        UNHEALTHY_PROBE,
        ANSWER,
        REFUSAL;

        LoadReport report() {
            LoadReport report =
                    switch (this) {
                        case PROBE_WITHOUT_LOAD -> LoadReport.UNKNOWN;
                        case UNHEALTHY_PROBE -> idle().asUnhealthy();
                        default -> idle();
                    };
            return report.withColdMillis(3_000);
        }
    }
}
