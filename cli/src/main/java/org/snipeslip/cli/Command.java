package org.snipeslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** One command with its options, help text and exit codes. */
abstract class Command {
    private final String name;
    private final String arguments;
    private final String summary;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Void> help;

    /**
     * Declares a command.
     *
     * @param name first command-line argument that selects the command
     * @param arguments arguments as shown in the usage line
     * @param summary one-sentence description for the help text
     */
    Command(String name, String arguments, String summary) {
        this.name = name;
        this.arguments = arguments;
        this.summary = summary;
        this.help = parser.accepts("help", "Show this help.").forHelp();
    }

    String name() {
        return name;
    }

    String summary() {
        return summary;
    }

    OptionParser parser() {
        return parser;
    }

    /**
     * Runs the command with parsed options.
     *
     * @throws UsageException if the positional arguments are missing, too many or invalid
     */
    abstract ExitCode run(OptionSet options, Console console)
            throws UsageException, IOException, InterruptedException;

    final ExitCode run(List<String> args, Console console)
            throws IOException, InterruptedException {
        try {
            OptionSet options = parser.parse(args.toArray(String[]::new));
            if (options.has(help)) {
                printHelp(console.out());
                return ExitCode.OK;
            }
            return run(options, console);
        } catch (OptionException | UsageException e) {
            console.printMessage(e.getMessage());
            console.err().println(usage());
            return ExitCode.USAGE;
        }
    }

    private String usage() {
        return "usage: snipeslip " + (name + " " + arguments).strip();
    }

    private void printHelp(PrintStream out) throws IOException {
        out.println(usage());
        out.println();
        out.println(summary);
        out.println();
        parser.printHelpOn(out);
        out.println();
        out.print(ExitCode.describeAll());
    }

    /** Returns the arguments that are not options or option values. */
    static List<String> positionalArguments(OptionSet options) {
        return options.nonOptionArguments().stream().map(Object::toString).toList();
    }
}
