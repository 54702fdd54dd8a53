package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.server.runtime.EntryProcess;
import org.snipeslip.server.runtime.SignalHandlers;
import org.snipeslip.server.settings.ProcessSettings;
import org.snipeslip.server.settings.SettingsFault;
import org.snipeslip.server.settings.SettingsReader;

/**
 * Runs an entry instance until its planned stop is complete. The first SIGTERM or SIGINT begins the
 * planned stop, a second one ends it at once.
 */
final class RunCommand extends Command {
    private final OptionSpec<String> file =
            parser().accepts("settings", "Settings of the instance, YAML.")
                    .withRequiredArg()
                    .describedAs("FILE")
                    .required();
    private final OptionSpec<Void> check =
            parser().accepts("check", "Check the settings and exit.");

    RunCommand() {
        super("run", "--settings FILE", "Run an entry instance.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws IOException, InterruptedException {
        // The start time grows with each start, as the incarnation of a member must.
        Either<List<SettingsFault>, ProcessSettings> settings =
                new SettingsReader()
                        .read(Path.of(options.valueOf(file)), System.currentTimeMillis());
        if (settings.isLeft()) {
            settings.getLeft()
                    .forEach(f -> console.err().println(options.valueOf(file) + ": " + f));
            return ExitCode.BAD_INPUT;
        }
        if (options.has(check)) {
            console.out().println("no fault");
            return ExitCode.OK;
        }
        try (EntryProcess process = new EntryProcess(settings.get())) {
            SignalHandlers.onTerminate(process::requestStop);
            process.awaitStop();
        }
        return ExitCode.OK;
    }
}
