package org.snipeslip.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.core.store.ListedInstance;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishedConfig;
import org.snipeslip.server.config.PublishedReader;
import org.snipeslip.server.config.StoreProblem;

/** Prints the published generation and the state of instances. */
final class StatusCommand extends Command {
    private static final Pattern GENERATION = Pattern.compile("generation (\\d+)");
    private static final int STATUS_OK = 200;

    private final OptionSpec<URI> objectApi =
            parser().accepts("object-api", "Origin of the object API.")
                    .withRequiredArg()
                    .withValuesConvertedBy(new OriginConverter());
    private final OptionSpec<URI> operators =
            parser().accepts("operators", "Origins of the operator ports of instances.")
                    .withRequiredArg()
                    .withValuesSeparatedBy(',')
                    .withValuesConvertedBy(new OriginConverter());
    private final OptionSpec<Void> json =
            parser().accepts("json", "Print the result as JSON on standard output.");

    StatusCommand() {
        super(
                "status",
                "--object-api URL | --operators URL,URL",
                "Show the published generation, and which one each instance has in force.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws UsageException, IOException {
        if (!options.has(objectApi) && !options.has(operators)) {
            throw new UsageException("--object-api or --operators is required");
        }
        Map<String, Object> result = new LinkedHashMap<>();
        ExitCode exitCode = ExitCode.OK;
        try (BlockingHttpClient client = new BlockingHttpClient()) {
            if (options.has(objectApi)) {
                ObjectStore store = client.objectStore(options.valueOf(objectApi));
                exitCode = addPublishedHead(store, console, result);
            }
            if (options.has(operators)) {
                List<Map<String, Object>> instances = new ArrayList<>();
                for (URI origin : options.valuesOf(operators)) {
                    instances.add(queryInstance(client, origin));
                }
                result.put("instances", instances);
                if (instances.stream().anyMatch(instance -> instance.containsKey("failure"))) {
                    exitCode = ExitCode.UNAVAILABLE;
                }
            }
        }
        print(result, options.has(json), console);
        return exitCode;
    }

    private static ExitCode addPublishedHead(
            ObjectStore store, Console console, Map<String, Object> result) {
        Either<StoreProblem, PublishedConfig> published =
                new PublishedReader(store, console.retryBackoff()).readHead();
        if (published.isLeft()) {
            return StoreCommand.report(published, console);
        }
        Map<String, Object> head = new LinkedHashMap<>();
        head.put("generation", published.get().head().generation().number());
        head.put("writer", published.get().head().writer());
        head.put("objects", published.get().head().digests().size());
        result.put("published", head);
        if (store.call(new StoreRequest.ReadInstances())
                instanceof StoreAnswer.Instances(List<ListedInstance> listed)) {
            result.put(
                    "listed", listed.stream().map(StatusCommand::describeListedInstance).toList());
        }
        return ExitCode.OK;
    }

    private static Map<String, Object> describeListedInstance(ListedInstance instance) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("instance", instance.id().value());
        entry.put("failureDomain", instance.failureDomain().value());
        entry.put("leaving", instance.leaving());
        return entry;
    }

    /**
     * Queries /ready, which returns a JSON object with instance and generation, or the text
     * "generation N".
     */
    private static Map<String, Object> queryInstance(BlockingHttpClient client, URI origin) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("operator", origin.toString());
        Either<IOException, BlockingHttpClient.Response> response = client.get(origin, "/ready");
        if (response.isLeft()) {
            entry.put("failure", response.getLeft().toString());
            return entry;
        }
        String body = response.get().body();
        entry.put("ready", response.get().status() == STATUS_OK);
        Matcher matcher = GENERATION.matcher(body);
        if (matcher.find()) {
            entry.put("generation", Long.parseLong(matcher.group(1)));
            return entry;
        }
        try {
            JsonNode node = new ObjectMapper().readTree(body);
            entry.put("instance", node.path("instance").asText());
            entry.put("generation", node.path("generation").asLong());
        } catch (JsonProcessingException e) {
            entry.put("failure", "response of /ready is not valid JSON");
        }
        return entry;
    }

    private static void print(Map<String, Object> result, boolean json, Console console) {
        if (json) {
            console.printJson(result);
            return;
        }
        result.forEach(
                (group, value) -> {
                    List<?> rows = value instanceof List<?> list ? list : List.of(value);
                    console.out().println(group + ":");
                    rows.forEach(row -> console.out().println("  " + formatRow((Map<?, ?>) row)));
                });
    }

    private static String formatRow(Map<?, ?> row) {
        List<String> cells = new ArrayList<>();
        row.forEach((key, value) -> cells.add(key + " " + value));
        return String.join(", ", cells);
    }
}
