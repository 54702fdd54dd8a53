package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.platform.BootFault;
import org.snipeslip.platform.BootFile;
import org.snipeslip.platform.BootSettings;
import org.snipeslip.platform.PlatformProcess;
import org.snipeslip.platform.SettingsReloader;
import org.snipeslip.server.log.LogSetup;
import org.snipeslip.server.runtime.DiscoveryProcess;
import org.snipeslip.server.runtime.SignalHandlers;

/** Runs an entry instance on the hosting platform until its planned stop is complete. */
final class PlatformCommand extends Command {
    /** The settings file can change without a SIGHUP, so it is polled; no setting is urgent. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 10_000;

    private final OptionSpec<String> settingsFile =
            parser().accepts("settings", "Settings file that the platform writes.")
                    .withRequiredArg()
                    .describedAs("FILE")
                    .defaultsTo(PlatformProcess.settingsPath());
    private final OptionSpec<Void> checkOnly =
            parser().accepts("check", "Check the settings without starting an instance.");

    PlatformCommand() {
        super("platform", "[--settings FILE]", "Run an entry instance on the hosting platform.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws IOException, InterruptedException {
        System.setProperty(LogSetup.TARGET_PROPERTY, "System.out");
        System.setProperty(LogSetup.ASYNC_PROPERTY, "true");
        String path = options.valueOf(settingsFile);
        String text = Files.readString(Path.of(path));
        Either<List<BootFault>, BootSettings> settings = BootFile.read(text);
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> console.err().println(path + ": " + fault));
            return ExitCode.BAD_INPUT;
        }
        if (options.has(checkOnly)) {
            console.out().println("no faults");
            return ExitCode.OK;
        }
        try (DiscoveryProcess process = PlatformProcess.start(settings.get())) {
            SignalHandlers.onTerminate(process::requestStop);
            SettingsReloader settingsWatch =
                    new SettingsReloader(Path.of(path), text, settings.get());
            SignalHandlers.onHangUp(() -> settingsWatch.reloadIfChanged(true));
            while (!process.awaitStop(SETTINGS_CHECK_INTERVAL_MILLIS)) {
                settingsWatch.reloadIfChanged(false);
            }
        } finally {
            LogSetup.close();
        }
        return ExitCode.OK;
    }
}
