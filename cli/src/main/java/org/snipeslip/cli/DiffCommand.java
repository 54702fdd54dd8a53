package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.server.config.ConfigChange;
import org.snipeslip.server.config.ConfigDiff;
import org.snipeslip.server.config.ConfigInput;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishedConfig;
import org.snipeslip.server.config.StoreProblem;

/** Compares configuration files with the published configuration. */
final class DiffCommand extends StoreCommand {
    private final OptionSpec<Void> exitCode =
            parser().accepts("exit-code", "Exit with 1 if there are differences.");

    DiffCommand() {
        super(
                "diff",
                InputFiles.FILES_ARGUMENT,
                "Show what publishing the files would change; publishes nothing.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store)
            throws UsageException, IOException {
        ConfigInput input = InputFiles.read(positionalArguments(options));
        List<ConfigFault> faults = input.check();
        if (!faults.isEmpty()) {
            InputFiles.printFaults(faults, console);
            return ExitCode.FAULTS;
        }
        InputFiles.printWarnings(input.advice(), console);
        Either<StoreProblem, PublishedConfig> base = reader(store, console).read();
        if (base.isLeft()) {
            return report(base, console);
        }
        List<ConfigChange> changes =
                ConfigDiff.between(base.get().objects(), input.configObjects());
        print(base.get().head().generation().number(), changes, isJson(options), console);
        return options.has(exitCode) && !changes.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private static void print(
            long generation, List<ConfigChange> changes, boolean json, Console console) {
        if (json) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("generation", generation);
            result.put("changes", changes);
            console.printJson(result);
        } else {
            console.out().println(changes.size() + " changes against generation " + generation);
            changes.forEach(
                    change -> console.out().println("  " + PublishReport.formatChange(change)));
        }
    }
}
