package org.snipeslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Selects and runs the command named by the first argument. */
final class CommandLine {
    private static final List<String> HELP = List.of("--help", "-h", "help");

    /** Commands are created only when used, because each loads its own options and libraries. */
    private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

    CommandLine() {
        commands.put("check", CheckCommand::new);
        commands.put("publish", PublishCommand::new);
        commands.put("diff", DiffCommand::new);
        commands.put("get", GetCommand::new);
        commands.put("status", StatusCommand::new);
        commands.put("domain", DomainCommand::new);
        commands.put("explain", ExplainCommand::new);
        commands.put("run", RunCommand::new);
        commands.put("platform", PlatformCommand::new);
        commands.put("standin", StandInCommand::new);
        commands.put("demo", DemoCommand::new);
        commands.put("version", VersionCommand::new);
    }

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
        Supplier<Command> command = commands.get(name);
        if (command == null) {
            console.printMessage("unknown command \"" + name + "\"");
            printUsage(console.err());
            return ExitCode.USAGE;
        }
        try {
            return command.get().run(args.subList(1, args.size()), console);
        } catch (BadInputException e) {
            console.printMessage(e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (IOException e) {
            console.printMessage(e.toString());
            return ExitCode.FAILED;
        }
    }

    private void printUsage(PrintStream out) {
        out.println("usage: snipeslip COMMAND [OPTIONS]");
        out.println();
        commands.forEach(
                (name, command) -> out.printf("  %-8s %s%n", name, command.get().summary()));
        out.println();
        out.println("snipeslip COMMAND --help shows the options of a command.");
        out.println();
        out.print(ExitCode.describeAll());
    }
}
