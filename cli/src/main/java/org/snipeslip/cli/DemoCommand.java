package org.snipeslip.cli;

import java.io.IOException;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.standin.Demo;

/** Runs entry instances against stand-ins in one process and reports latencies. */
final class DemoCommand extends Command {
    private final OptionSpec<Integer> seconds =
            parser().accepts("seconds", "Duration of the measured load, in seconds.")
                    .withRequiredArg()
                    .ofType(Integer.class)
                    .defaultsTo(5);
    private final OptionSpec<Integer> rate =
            parser().accepts("rate", "Calls per second.")
                    .withRequiredArg()
                    .ofType(Integer.class)
                    .defaultsTo(1_000);

    DemoCommand() {
        super(
                "demo",
                "[--seconds N] [--rate N]",
                "Run entry instances against stand-ins on 127.0.0.1 and report latencies.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws IOException, InterruptedException {
        long failures =
                new Demo(console.out()).run(options.valueOf(seconds), options.valueOf(rate));
        return failures == 0 ? ExitCode.OK : ExitCode.FAILED;
    }
}
