package org.snipeslip.cli;

import java.util.List;

/** Entry point of the program. */
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits the JVM with its exit code.
     *
     * @param args command name, followed by its options and arguments
     * @throws InterruptedException if the main thread is interrupted while a command waits
     */
    public static void main(String[] args) throws InterruptedException {
        Console console = new Console(System.out, System.err, new RetryBackoff());
        System.exit(new CommandLine().run(List.of(args), console).code());
    }
}
