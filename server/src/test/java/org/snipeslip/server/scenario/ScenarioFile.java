package org.snipeslip.server.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A scripted failure: timed events and what must hold.
 *
 * @param failure the failure that the scenario brings about
 * @param seed seed of all random choices
 * @param durationMillis length in virtual time
 * @param instances number of instances, spread over the failure domains
 * @param failureDomains number of failure domains, spread over three regions
 * @param backendServers number of backend servers, spread over the failure domains
 * @param slots slots of each
 * @param serviceMillis mean service time
 * @param load calls at a steady rate
 * @param events what happens
 * @param expect what must hold at the end, beside the invariants that always hold
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

    /** Calls at a steady rate, taken in turn by the instances that are up. */
    record Load(
            String method,
            String path,
            String key,
            int copies,
            double callsPerSecond,
            long fromMillis,
            long toMillis) {}

    /** One event; the fields that do not concern its kind are absent. */
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

    /** One expectation; the fields that do not concern its check are absent. */
    record Expectation(
            String check,
            String target,
            String path,
            long fromMillis,
            long toMillis,
            double value,
            String result) {}
}
