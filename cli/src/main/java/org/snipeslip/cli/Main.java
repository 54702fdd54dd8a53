package org.snipeslip.cli;

import java.util.List;

/** Entry point of the program. */
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param args command and options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        Console console = new Console(System.out, System.err, new RetryPause());
        System.exit(new CommandLine().run(List.of(args), console).code());
    }
}
