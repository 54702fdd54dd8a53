package org.snipeslip.cli;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionSet;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.ObjectKind;
import org.snipeslip.server.config.ConfigYaml;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishedConfig;
import org.snipeslip.server.config.StoreProblem;

/** Prints published objects in the YAML format that check and publish accept. */
final class GetCommand extends StoreCommand {
    private static final int MAX_ARGUMENTS = 2;

    GetCommand() {
        super("get", "[KIND [NAME]]", "Print published objects as YAML.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store) throws UsageException {
        List<String> arguments = positionalArguments(options);
        if (arguments.size() > MAX_ARGUMENTS) {
            throw new UsageException("too many arguments: expected at most " + MAX_ARGUMENTS);
        }
        Optional<ObjectKind> kind =
                arguments.isEmpty()
                        ? Optional.empty()
                        : Optional.of(parseKind(arguments.getFirst()));
        Either<StoreProblem, PublishedConfig> published = reader(store, console).read();
        if (published.isLeft()) {
            return report(published, console);
        }
        List<ConfigObject> objects =
                published.get().objects().stream()
                        .filter(o -> kind.isEmpty() || o.kind() == kind.get())
                        .filter(
                                o ->
                                        arguments.size() < MAX_ARGUMENTS
                                                || o.name().equals(arguments.getLast()))
                        .toList();
        if (objects.isEmpty() && arguments.size() == MAX_ARGUMENTS) {
            console.printMessage(
                    "no published object " + kind.get().text() + " " + arguments.getLast());
            return ExitCode.FAILED;
        }
        ConfigYaml yaml = new ConfigYaml();
        if (isJson(options)) {
            console.printJson(yaml.toJsonTrees(objects));
        } else {
            console.out().print(yaml.write(objects));
        }
        return ExitCode.OK;
    }

    private static ObjectKind parseKind(String name) throws UsageException {
        return Stream.of(ObjectKind.values())
                .filter(kind -> kind.text().equalsIgnoreCase(name))
                .findFirst()
                .orElseThrow(() -> new UsageException("unknown kind \"" + name + "\""));
    }
}
