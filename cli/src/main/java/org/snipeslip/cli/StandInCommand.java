package org.snipeslip.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.standin.BackendServerProcess;
import org.snipeslip.standin.ObjectApiStandIn;

/** Runs a stand-in of the object API or of a backend server until the process is killed. */
final class StandInCommand extends Command {
    private static final String HOST = "127.0.0.1";

    private final OptionSpec<Integer> port =
            parser().accepts("port", "TCP port on 127.0.0.1.")
                    .withRequiredArg()
                    .ofType(Integer.class)
                    .required();
    private final OptionSpec<Integer> slots =
            parser().accepts("slots", "Calls that the backend server processes concurrently.")
                    .withRequiredArg()
                    .ofType(Integer.class)
                    .defaultsTo(4);
    private final OptionSpec<Long> serviceMicros =
            parser().accepts(
                            "service-micros",
                            "Mean service time of the backend server, in microseconds.")
                    .withRequiredArg()
                    .ofType(Long.class)
                    .defaultsTo(2_000L);

    StandInCommand() {
        super(
                "standin",
                "object-api|backend-server --port PORT",
                "Run a stand-in of the object API or of a backend server, for tests.");
    }

    @Override
    ExitCode run(OptionSet options, Console console)
            throws UsageException, IOException, InterruptedException {
        List<String> arguments = positionalArguments(options);
        int portNumber = options.valueOf(port);
        switch (arguments.size() == 1 ? arguments.getFirst() : "") {
            case "object-api" -> new ObjectApiStandIn(HOST, portNumber);
            case "backend-server" ->
                    BackendServerProcess.start(
                            HOST,
                            portNumber,
                            options.valueOf(slots),
                            options.valueOf(serviceMicros));
            default ->
                    throw new UsageException(
                            "exactly one of object-api and backend-server is required");
        }
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }
}
