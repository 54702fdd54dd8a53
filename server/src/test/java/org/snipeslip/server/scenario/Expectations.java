package org.snipeslip.server.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Checks the expectations of scenario files, whose bounds come from the users' requirements. */
final class Expectations {
    private static final double NANOS_PER_MILLI = 1e6;

    private Expectations() {}

    static void check(Simulation simulation, ScenarioFile.Expectation expected) {
        switch (expected.check()) {
            case "answered-share" -> answeredShare(simulation, expected);
            case "latency-below-millis" -> latencyBelow(simulation, expected);
            case "no-starts" ->
                    assertThat(starts(simulation, expected)).as(expected.toString()).isEmpty();
            case "starts-at-least" ->
                    assertThat(starts(simulation, expected).size())
                            .as(expected.toString())
                            .isGreaterThanOrEqualTo((int) expected.value());
            case "arrival-share-at-most" -> arrivalShare(simulation, expected);
            case "held-while-cold-at-most" ->
                    assertThat(starts(simulation, expected))
                            .as(expected.toString())
                            .filteredOn(FakeBackendServer.StartedCall::cold)
                            .isNotEmpty()
                            .allMatch(start -> start.heldCalls() <= expected.value());
            case "generation-everywhere" ->
                    assertThat(simulation.instances.values())
                            .as(expected.toString())
                            .filteredOn(instance -> instance.up)
                            .allMatch(
                                    instance -> instance.generation().number() >= expected.value());
            case "result" ->
                    assertThat(callByName(simulation, expected.target()).result)
                            .as(expected.toString())
                            .matches(expected.result());
            case "stop-finished" -> {
                assertThat(simulation.instances.get(expected.target()).finishedStop).isTrue();
                assertThat(simulation.instances.get(expected.target()).openAtFinish).isZero();
            }
            case "store-holds-nothing-of" ->
                    assertThat(simulation.store.objects.values())
                            .as(expected.toString())
                            .noneMatch(
                                    object ->
                                            object.key().startsWith("once/")
                                                    && object.key().contains(expected.target()));
            default -> throw new IllegalArgumentException("unknown check: " + expected.check());
        }
    }

    static boolean hasStoppedOrCrashed(Simulation simulation, SimulatedInstance instance) {
        return instance.finishedStop
                || !instance.up
                || simulation.crashedInstances.contains(instance.name);
    }

    private static void answeredShare(Simulation simulation, ScenarioFile.Expectation expected) {
        List<SimulatedCall> calls = calls(simulation, expected);
        assertThat(calls).as("calls of %s", expected).isNotEmpty();
        long answered =
                calls.stream().filter(call -> call.result.matches("(replayed:)?200")).count();
        assertThat((double) answered / calls.size())
                .as("%s, results %s", expected, countByResult(calls))
                .isGreaterThanOrEqualTo(expected.value());
    }

    private static Map<String, Long> countByResult(List<SimulatedCall> calls) {
        return calls.stream()
                .collect(
                        Collectors.groupingBy(
                                call -> call.atNanos / 1_000_000_000L + " s " + call.result,
                                TreeMap::new,
                                Collectors.counting()));
    }

    private static void latencyBelow(Simulation simulation, ScenarioFile.Expectation expected) {
        List<Double> millis =
                calls(simulation, expected).stream()
                        .filter(call -> call.result.equals("200"))
                        .map(call -> (call.endedNanos - call.atNanos) / NANOS_PER_MILLI)
                        .sorted()
                        .toList();
        assertThat(millis).as("answers of %s", expected).isNotEmpty();
        assertThat(millis.get((int) (millis.size() * 0.99)))
                .as("p99 of %s", expected)
                .isLessThan(expected.value());
    }

    /** Checks the share of all tries that were sent to one server. */
    private static void arrivalShare(Simulation simulation, ScenarioFile.Expectation expected) {
        long total =
                simulation.servers.values().stream()
                        .mapToLong(server -> arrivals(server, expected))
                        .sum();
        assertThat(total).as("tries in the window of %s", expected).isPositive();
        long toTarget = arrivals(simulation.servers.get(expected.target()), expected);
        assertThat((double) toTarget / total)
                .as("%s: %d of %d", expected, toTarget, total)
                .isLessThanOrEqualTo(expected.value());
    }

    private static long arrivals(FakeBackendServer server, ScenarioFile.Expectation expected) {
        return server.arrivalNanos.stream().filter(at -> inWindow(at, expected)).count();
    }

    private static List<FakeBackendServer.StartedCall> starts(
            Simulation simulation, ScenarioFile.Expectation expected) {
        return simulation.servers.values().stream()
                .filter(
                        server ->
                                server.name.equals(expected.target())
                                        || server.failureDomain.equals(expected.target()))
                .flatMap(server -> server.starts.stream())
                .filter(start -> inWindow(start.atNanos(), expected))
                .toList();
    }

    private static List<SimulatedCall> calls(
            Simulation simulation, ScenarioFile.Expectation expected) {
        return simulation.calls.stream()
                .filter(call -> call.path.equals(expected.path()))
                .filter(call -> inWindow(call.atNanos, expected))
                .toList();
    }

    private static SimulatedCall callByName(Simulation simulation, String name) {
        return simulation.calls.stream()
                .filter(call -> name.equals(call.name))
                .findFirst()
                .orElseThrow();
    }

    private static boolean inWindow(long atNanos, ScenarioFile.Expectation expected) {
        double millis = atNanos / NANOS_PER_MILLI;
        return millis >= expected.fromMillis()
                && (expected.toMillis() == 0 || millis < expected.toMillis());
    }
}
