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
import org.snipeslip.core.measure.MeasureSettings;
import org.snipeslip.core.selection.PolicyName;

/**
 * More calls than the servers can answer, with probes before each call. Eight servers with two
 * slots and 2 ms of work each answer 8,000 calls a second.
 */
class ProbedOverloadTest {
    private static final double CAPACITY_PER_SECOND = 8_000;
    private static final long SECOND_NANOS = 1_000 * FakeFleet.MILLI;
    private static final long TARGET_MILLIS = 12;
    private static final CallSettings SETTINGS =
            CallSettings.DEFAULT
                    .withPolicy(PolicyName.PROBED)
                    .withMeasure(MeasureSettings.OFF)
                    .withInstances(4);

    /** Queues that grow until the deadline make all answers useless, not only the excess. */
    @ParameterizedTest
    @ValueSource(doubles = {1.15, 1.3, 1.6})
    void answersWithinTheTargetWhatTheServersCanDo(double overload) {
        LoadedFleet bounded = played(overload, TARGET_MILLIS);
        LoadedFleet unbounded = played(overload, 0);

        double possible = CAPACITY_PER_SECOND;
        assertThat(inTarget(bounded)).isGreaterThan(0.75 * possible);
        assertThat(inTarget(bounded)).isGreaterThan(2 * inTarget(unbounded));
    }

    @Test
    void refusalsAreTrueAndSayWhenToReturn() {
        LoadedFleet fleet = played(1.5, TARGET_MILLIS);
        List<FakeCall> refused =
                fleet.calls.values().stream().filter(call -> call.refusal != null).toList();

        assertThat(refused).isNotEmpty();
        for (FakeCall call : refused) {
            if (call.refusal.reason() == RefusalReason.OVERLOADED) {
                assertThat(call.started).isZero();
                assertThat(call.refusal.status()).isEqualTo(503);
                assertThat(call.refusal.retryAfterMillis()).isPositive();
            }
        }
    }

    /** The bound must not refuse what finds a free slot. */
    @Test
    void refusesNothingBelowTheCapacity() {
        LoadedFleet fleet = played(0.6, TARGET_MILLIS);
        assertThat(fleet.calls.values()).allMatch(call -> call.refusal == null);
    }

    private static LoadedFleet played(double load, long targetMillis) {
        LoadedFleet fleet = new LoadedFleet(SETTINGS, 4, 7, "a1", "a2");
        fleet.configure(config(targetMillis));
        List<CallHead> mix = List.of(Fleets.get("/free", null));
        fleet.load(load * CAPACITY_PER_SECOND, SECOND_NANOS, mix);
        return fleet;
    }

    private static ConfigSet config(long targetMillis) {
        ConfigSet plain = Fleets.config(1, Fleets.servers(8, 2, "a1", "a2"), Set.of());
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

    private static double inTarget(LoadedFleet fleet) {
        return fleet.calls.values().stream()
                .filter(call -> call.relayedNanos > 0)
                .filter(
                        call ->
                                call.relayedNanos - call.arrivedNanos
                                        <= TARGET_MILLIS * FakeFleet.MILLI)
                .count();
    }
}
