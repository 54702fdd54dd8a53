package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.probe.ProbeSettings;
import org.snipeslip.core.selection.PolicyName;

/**
 * Tests overload with probes before each call. The capacity is 8,000 calls per second: eight
 * servers with two slots each and a mean service time of 2 ms.
 */
class ProbedOverloadTest {
    private static final double CAPACITY_PER_SECOND = 8_000;
    private static final long SECOND_NANOS = 1_000 * FakeDeployment.MILLI;
    private static final long TARGET_MILLIS = 12;
    private static final CallSettings SETTINGS =
            CallSettings.DEFAULT
                    .withPolicy(PolicyName.PROBED)
                    .withProbeSettings(ProbeSettings.OFF)
                    .withInstances(4);

    /**
     * Guards against queues that grow until the deadline under overload: then all responses miss
     * their target latency, not only those of the excess calls.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1.15, 1.3, 1.6})
    void keepsGoodputUnderOverload(double overload) {
        LoadedDeployment bounded = runAtLoad(overload, TARGET_MILLIS);
        LoadedDeployment unbounded = runAtLoad(overload, 0);

        double servableCalls = CAPACITY_PER_SECOND;
        assertThat(answeredWithinTarget(bounded)).isGreaterThan(0.75 * servableCalls);
        assertThat(answeredWithinTarget(bounded))
                .isGreaterThan(2 * answeredWithinTarget(unbounded));
    }

    /** Guards against refusing calls as overloaded that ran, or without a time for a retry. */
    @Test
    void overloadedCallsDidNotRunAndGetRetryAfter() {
        LoadedDeployment deployment = runAtLoad(1.5, TARGET_MILLIS);
        List<FakeCall> refused =
                deployment.calls.values().stream().filter(call -> call.refusal != null).toList();

        assertThat(refused).isNotEmpty();
        for (FakeCall call : refused) {
            if (call.refusal.reason() == RefusalReason.OVERLOADED) {
                assertThat(call.executions).isZero();
                assertThat(call.refusal.status()).isEqualTo(503);
                assertThat(call.refusal.retryAfterMillis()).isPositive();
            }
        }
    }

    /** Guards against a wait limit that refuses calls although a slot is free. */
    @Test
    void refusesNoCallBelowCapacity() {
        LoadedDeployment deployment = runAtLoad(0.6, TARGET_MILLIS);
        assertThat(deployment.calls.values()).allMatch(call -> call.refusal == null);
    }

    private static LoadedDeployment runAtLoad(double load, long targetMillis) {
        LoadedDeployment deployment = new LoadedDeployment(SETTINGS, 4, 7, "a1", "a2");
        deployment.configure(config(targetMillis));
        List<CallHead> mix = List.of(DeploymentFixtures.get("/free", null));
        deployment.load(load * CAPACITY_PER_SECOND, SECOND_NANOS, mix);
        return deployment;
    }

    private static ConfigSet config(long targetMillis) {
        ConfigSet plain =
                DeploymentFixtures.config(
                        1, DeploymentFixtures.servers(8, 2, "a1", "a2"), Set.of());
        Map<RouteId, Route> routes = new HashMap<>();
        plain.routes()
                .forEach(
                        (id, route) ->
                                routes.put(
                                        id,
                                        new Route(
                                                id,
                                                route.host(),
                                                route.pathPrefix(),
                                                route.methods(),
                                                route.service(),
                                                route.callClass(),
                                                route.idempotentMethods(),
                                                route.homeRegions(),
                                                200,
                                                List.of(),
                                                2,
                                                targetMillis,
                                                0)));
        return new ConfigSet(
                plain.generation(),
                plain.homeRegions(),
                plain.failureDomains(),
                plain.organisations(),
                plain.services(),
                routes);
    }

    private static double answeredWithinTarget(LoadedDeployment deployment) {
        return deployment.calls.values().stream()
                .filter(call -> call.relayedNanos > 0)
                .filter(
                        call ->
                                call.relayedNanos - call.arrivedNanos
                                        <= TARGET_MILLIS * FakeDeployment.MILLI)
                .count();
    }
}
