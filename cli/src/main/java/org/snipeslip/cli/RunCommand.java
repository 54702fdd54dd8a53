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
 * Runs an entry instance until its planned stop is complete. The first SIGTERM or SIGINT starts the
 * planned stop; a second one ends the stop immediately, without waiting for open calls.
 */
final class RunCommand extends Command {
    private final OptionSpec<String> settingsFile =
            parser().accepts("settings", "YAML file with the settings of the instance.")
                    .withRequiredArg()
                    .describedAs("FILE")
                    .required();
    private final OptionSpec<Void> checkOnly =
            parser().accepts("check", "Check the settings without starting an instance.");

    RunCommand() {
        super("run", "--settings FILE", "Run an entry instance.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws IOException, InterruptedException {
        // The start time is the incarnation of the member, which must increase with each start.
        Either<List<SettingsFault>, ProcessSettings> settings =
                new SettingsReader()
                        .read(Path.of(options.valueOf(settingsFile)), System.currentTimeMillis());
        if (settings.isLeft()) {
            settings.getLeft()
                    .forEach(f -> console.err().println(options.valueOf(settingsFile) + ": " + f));
            return ExitCode.BAD_INPUT;
        }
        if (options.has(checkOnly)) {
            console.out().println("no faults");
            return ExitCode.OK;
        }
        try (EntryProcess process = new EntryProcess(settings.get())) {
            SignalHandlers.onTerminate(process::requestStop);
            process.awaitStop();
        }
        return ExitCode.OK;
    }
}
