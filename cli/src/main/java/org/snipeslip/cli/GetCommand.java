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

/** Prints published objects as files that check and publish accept. */
final class GetCommand extends StoreCommand {
    private static final int MAX_WORDS = 2;

    GetCommand() {
        super("get", "[KIND [NAME]]", "Print published objects as YAML.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store) throws UsageException {
        List<String> words = words(options);
        if (words.size() > MAX_WORDS) {
            throw new UsageException("too many arguments");
        }
        Optional<ObjectKind> kind =
                words.isEmpty() ? Optional.empty() : Optional.of(kind(words.getFirst()));
        Either<StoreProblem, PublishedConfig> published = reader(store, console).read();
        if (published.isLeft()) {
            return report(published, console);
        }
        List<ConfigObject> objects =
                published.get().objects().stream()
                        .filter(o -> kind.isEmpty() || o.kind() == kind.get())
                        .filter(o -> words.size() < MAX_WORDS || o.name().equals(words.getLast()))
                        .toList();
        if (objects.isEmpty() && words.size() == MAX_WORDS) {
            console.message("there is no " + kind.get().text() + " " + words.getLast());
            return ExitCode.FAILED;
        }
        ConfigYaml yaml = new ConfigYaml();
        if (isJson(options)) {
            console.json(yaml.toJsonTrees(objects));
        } else {
            console.out().print(yaml.write(objects));
        }
        return ExitCode.OK;
    }

    private static ObjectKind kind(String word) throws UsageException {
        return Stream.of(ObjectKind.values())
                .filter(kind -> kind.text().equalsIgnoreCase(word))
                .findFirst()
                .orElseThrow(() -> new UsageException("there is no kind \"" + word + "\""));
    }
}
