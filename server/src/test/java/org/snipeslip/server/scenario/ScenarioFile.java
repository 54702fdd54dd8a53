package org.snipeslip.server.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A scripted failure: load, timed events and expectations.
 *
 * @param failure description of the failure that the scenario simulates
 * @param seed seed of all random choices
 * @param durationMillis duration in virtual time
 * @param instances number of instances, spread over the failure domains
 * @param failureDomains number of failure domains, spread over three regions
 * @param backendServers number of backend servers, spread over the failure domains
 * @param slots slots per backend server
 * @param serviceMillis mean service time of a warm backend server
 * @param load calls at a steady rate
 * @param events failures and single calls, by virtual time
 * @param expect expectations checked at the end, in addition to the invariants of all scenarios
 */
record ScenarioFile(
        String failure,
        long seed,
        long durationMillis,
        int instances,
        int failureDomains,
        int backendServers,
        int slots,
        double serviceMillis,
        List<Load> load,
        List<TimedEvent> events,
        List<Expectation> expect) {
    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

    static ScenarioFile read(Path file) throws IOException {
        return YAML.readValue(file.toFile(), ScenarioFile.class);
    }

    /** Calls at a steady rate, distributed round-robin over the instances that are ready. */
    record Load(
            String method,
            String path,
            String key,
            int copies,
            double callsPerSecond,
            long fromMillis,
            long toMillis) {}

    /** One event; fields that do not apply to its kind are absent. */
    record TimedEvent(
            long atMillis,
            String kind,
            String target,
            List<String> targets,
            double value,
            String method,
            String path,
            String key,
            String name) {}

    /** One expectation; fields that do not apply to its check are absent. */
    record Expectation(
            String check,
            String target,
            String path,
            long fromMillis,
            long toMillis,
            double value,
            String result) {}
}
