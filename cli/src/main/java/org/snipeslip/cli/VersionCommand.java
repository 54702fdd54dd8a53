package org.snipeslip.cli;

import joptsimple.OptionSet;

/** Prints the version of the program. */
final class VersionCommand extends Command {
    VersionCommand() {
        super("version", "", "Print the version.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        console.out().println("snipeslip " + (version == null ? "development" : version));
        return ExitCode.OK;
    }
}
