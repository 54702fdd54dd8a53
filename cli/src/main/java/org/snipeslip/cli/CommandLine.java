package org.snipeslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

/** Finds the command that the first argument names and runs it. */
final class CommandLine {
    private static final List<String> HELP = List.of("--help", "-h", "help");

    private final List<Command> commands =
            List.of(
                    new CheckCommand(),
                    new PublishCommand(),
                    new DiffCommand(),
                    new GetCommand(),
                    new StatusCommand(),
                    new DomainCommand(),
                    new ExplainCommand(),
                    new RunCommand(),
                    new PlatformCommand(),
                    new StandInCommand(),
                    new DemoCommand(),
                    new VersionCommand());

    ExitCode run(List<String> args, Console console) throws InterruptedException {
        if (args.isEmpty()) {
            printUsage(console.err());
            return ExitCode.USAGE;
        }
        String name = args.getFirst();
        if (HELP.contains(name)) {
            printUsage(console.out());
            return ExitCode.OK;
        }
        Optional<Command> command =
                commands.stream().filter(c -> c.name().equals(name)).findFirst();
        if (command.isEmpty()) {
            console.message("unknown command \"" + name + "\"");
            printUsage(console.err());
            return ExitCode.USAGE;
        }
        try {
            return command.get().run(args.subList(1, args.size()), console);
        } catch (BadInputException e) {
            console.message(e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (IOException e) {
            console.message(e.toString());
            return ExitCode.FAILED;
        }
    }

    private void printUsage(PrintStream out) {
        out.println("usage: snipeslip COMMAND [OPTIONS]");
        out.println();
        for (Command command : commands) {
            out.printf("  %-8s %s%n", command.name(), command.summary());
        }
        out.println();
        out.println("snipeslip COMMAND --help shows the options of a command.");
        out.println();
        out.print(ExitCode.describeAll());
    }
}
