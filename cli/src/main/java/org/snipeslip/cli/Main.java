package org.snipeslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.server.runtime.EntryProcess;
import org.snipeslip.server.settings.SettingsReader;
import org.snipeslip.standin.BackendServerProcess;
import org.snipeslip.standin.Demo;
import org.snipeslip.standin.ObjectApiStandIn;

/** Entry point of the command line. */
public final class Main {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 64;
    private static final String HOST = "127.0.0.1";

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param args command and options
     * @throws Exception if the command cannot go on
     */
    public static void main(String[] args) throws Exception {
        System.exit(run(args));
    }

    private static int run(String[] args) throws IOException, InterruptedException {
        if (args.length == 0) {
            System.err.println("usage: snipeslip demo|run|standin [options]");
            return EXIT_USAGE;
        }
        String[] rest = Arrays.copyOfRange(args, 1, args.length);
        try {
            return switch (args[0]) {
                case "demo" -> demo(rest);
                case "run" -> runInstance(rest);
                case "standin" -> standIn(rest);
                default -> {
                    System.err.println("snipeslip: unknown command \"" + args[0] + "\"");
                    yield EXIT_USAGE;
                }
            };
        } catch (OptionException e) {
            System.err.println("snipeslip: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static int demo(String[] args) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> seconds =
                parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(5);
        OptionSpec<Integer> rate =
                parser.accepts("rate").withRequiredArg().ofType(Integer.class).defaultsTo(1_000);
        OptionSet options = parser.parse(args);
        long failures = new Demo(System.out).run(options.valueOf(seconds), options.valueOf(rate));
        return failures == 0 ? EXIT_OK : EXIT_FAILED;
    }

    private static int runInstance(String[] args) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file = parser.accepts("settings").withRequiredArg().required();
        OptionSet options = parser.parse(args);
        Path path = Path.of(options.valueOf(file));
        try (EntryProcess process =
                new EntryProcess(
                        new SettingsReader()
                                .read(path, System.currentTimeMillis())
                                .getOrElseThrow(faults -> new IOException(faults.toString())))) {
            new CountDownLatch(1).await();
        }
        return EXIT_OK;
    }

    private static int standIn(String[] args) throws InterruptedException, IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port =
                parser.accepts("port").withRequiredArg().ofType(Integer.class).required();
        OptionSpec<Integer> slots =
                parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(4);
        OptionSpec<Long> micros =
                parser.accepts("service-micros")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(2_000L);
        OptionSpec<String> kind = parser.nonOptions("object-api or backend-server");
        OptionSet options = parser.parse(args);
        String name = options.valuesOf(kind).isEmpty() ? "" : options.valuesOf(kind).getFirst();
        int portNumber = options.valueOf(port);
        switch (name) {
            case "object-api" -> new ObjectApiStandIn(HOST, portNumber);
            case "backend-server" ->
                    BackendServerProcess.start(
                            HOST, portNumber, options.valueOf(slots), options.valueOf(micros));
            default -> {
                System.err.println("snipeslip: stand-in must be object-api or backend-server");
                return EXIT_USAGE;
            }
        }
        new CountDownLatch(1).await();
        return EXIT_OK;
    }
}
