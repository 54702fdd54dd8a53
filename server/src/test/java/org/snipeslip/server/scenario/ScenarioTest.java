package org.snipeslip.server.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs each scenario file in virtual time; the file describes the failure it guards against. */
class ScenarioTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/scenarios");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SETTLE_MILLIS = 11_000;

    static Stream<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            return files.sorted().toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("files")
    void meetsExpectations(Path file) throws IOException {
        ScenarioFile scenario = ScenarioFile.read(file);
        Simulation simulation = new Simulation(scenario);
        scenario.load().forEach(load -> schedule(simulation, load));
        scenario.events()
                .forEach(
                        event ->
                                simulation.schedule(
                                        event.atMillis() * NANOS_PER_MILLI,
                                        () -> ScenarioEvents.apply(simulation, event)));
        simulation.runUntil(scenario.durationMillis() * NANOS_PER_MILLI);
        simulation.runUntil((scenario.durationMillis() + SETTLE_MILLIS) * NANOS_PER_MILLI);
        assertInvariants(simulation);
        scenario.expect().forEach(expectation -> Expectations.check(simulation, expectation));
    }

    private static void schedule(Simulation simulation, ScenarioFile.Load load) {
        double gapNanos = 1e9 / load.callsPerSecond();
        long count = (long) ((load.toMillis() - load.fromMillis()) * NANOS_PER_MILLI / gapNanos);
        for (long i = 0; i < count; i++) {
            long index = i;
            long atNanos = load.fromMillis() * NANOS_PER_MILLI + (long) (i * gapNanos);
            simulation.schedule(atNanos, () -> send(simulation, load, index));
        }
    }

    private static void send(Simulation simulation, ScenarioFile.Load load, long index) {
        List<SimulatedInstance> ready =
                simulation.instances.values().stream().filter(SimulatedInstance::isReady).toList();
        if (ready.isEmpty()) {
            return;
        }
        String key = load.key() == null ? "" : load.key() + "-" + index;
        for (int copy = 0; copy < Math.max(1, load.copies()); copy++) {
            SimulatedInstance instance = ready.get((int) ((index + copy) % ready.size()));
            simulation.call(instance, "", load.method(), load.path(), key);
        }
    }

    private static void assertInvariants(Simulation simulation) {
        assertThat(simulation.instances.values())
                .as("generations never revert")
                .noneMatch(n -> n.reverted);
        assertThat(simulation.calls)
                .as("at most one final answer")
                .allMatch(c -> c.finalAnswers <= 1);
        assertThat(simulation.calls)
                .as("every call of an instance that stayed up is answered")
                .filteredOn(call -> call.instance.up && !call.instance.paused)
                .filteredOn(call -> call.finalAnswers == 0)
                .filteredOn(call -> !Expectations.hasStoppedOrCrashed(simulation, call.instance))
                .isEmpty();
        Map<String, Long> starts =
                simulation.servers.values().stream()
                        .flatMap(server -> server.starts.stream())
                        .collect(Collectors.groupingBy(s -> s.workKey(), Collectors.counting()));
        for (SimulatedCall call : simulation.calls) {
            long started = starts.getOrDefault(call.workKey, 0L);
            if (!call.method.equals("GET")) {
                assertThat(started).as("runs of %s", call.workKey).isLessThanOrEqualTo(1);
            }
            if (call.isNotRun() && call.workKey.startsWith(call.instance.name)) {
                assertThat(started).as("not run: %s %s", call.workKey, call.result).isZero();
            }
        }
        simulation
                .servers
                .values()
                .forEach(
                        server ->
                                assertThat(server.starts)
                                        .as("home regions of %s", server.name)
                                        .filteredOn(start -> start.path().startsWith("/bound"))
                                        .allMatch(
                                                start ->
                                                        server.region.equals("casamance")
                                                                && start.fromRegion()
                                                                        .equals("casamance")));
    }
}
