package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.UUID;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishedConfig;
import org.snipeslip.server.config.PublishedReader;
import org.snipeslip.server.config.Publisher;
import org.snipeslip.server.config.StoreProblem;

/** Base class of the commands that read or write the published configuration. */
abstract class StoreCommand extends Command {
    private final OptionSpec<URI> objectApi =
            parser().accepts("object-api", "Origin of the object API.")
                    .withRequiredArg()
                    .withValuesConvertedBy(new OriginConverter())
                    .required();
    private final OptionSpec<Void> json =
            parser().accepts("json", "Print the result as JSON on standard output.");

    StoreCommand(String name, String arguments, String summary) {
        super(name, (arguments + " --object-api URL").strip(), summary);
    }

    final boolean isJson(OptionSet options) {
        return options.has(json);
    }

    @Override
    final ExitCode run(OptionSet options, Console console)
            throws UsageException, IOException, InterruptedException {
        try (BlockingHttpClient client = new BlockingHttpClient()) {
            return run(options, console, client.objectStore(options.valueOf(objectApi)));
        }
    }

    abstract ExitCode run(OptionSet options, Console console, ObjectStore store)
            throws UsageException, IOException;

    static PublishedReader reader(ObjectStore store, Console console) {
        return new PublishedReader(store, console.retryBackoff());
    }

    static Publisher publisher(ObjectStore store, Console console) {
        return new Publisher(store, () -> "cli-" + UUID.randomUUID(), console.retryBackoff());
    }

    static ExitCode report(StoreProblem problem, Console console) {
        console.printMessage(describe(problem));
        return exitCode(problem);
    }

    static ExitCode report(Either<StoreProblem, PublishedConfig> failed, Console console) {
        return report(failed.getLeft(), console);
    }

    static String describe(StoreProblem problem) {
        return switch (problem) {
            case StoreProblem.Unavailable p -> "object API, " + p.key() + ": " + p.reason();
            case StoreProblem.Damaged p -> "published configuration: " + p.fault();
            case StoreProblem.MissingPart p ->
                    "published configuration: part " + p.digest() + " is missing";
            case StoreProblem.UnexpectedAnswer p ->
                    "object API, " + p.key() + ": unexpected answer " + p.answer();
        };
    }

    static ExitCode exitCode(StoreProblem problem) {
        return problem instanceof StoreProblem.Unavailable(String key, StoreFailure reason)
                        && reason != StoreFailure.TOO_LARGE
                ? ExitCode.UNAVAILABLE
                : ExitCode.FAILED;
    }
}
