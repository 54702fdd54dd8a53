package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Prints the decisions that an instance recorded for one request. */
final class ExplainCommand extends Command {
    private static final int STATUS_OK = 200;

    private final OptionSpec<URI> operator =
            parser().accepts("operator", "Origin of the operator port of the instance.")
                    .withRequiredArg()
                    .withValuesConvertedBy(new OriginConverter())
                    .required();

    ExplainCommand() {
        super(
                "explain",
                "REQUEST_ID --operator URL",
                "Show the recent decisions of an instance for one request, as JSON.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws UsageException, IOException {
        List<String> arguments = positionalArguments(options);
        if (arguments.size() != 1) {
            throw new UsageException("exactly one request id is required");
        }
        String id = URLEncoder.encode(arguments.getFirst(), StandardCharsets.UTF_8);
        try (BlockingHttpClient client = new BlockingHttpClient()) {
            Either<IOException, BlockingHttpClient.Response> response =
                    client.get(options.valueOf(operator), "/explain?request=" + id);
            if (response.isLeft()) {
                console.printMessage(response.getLeft().toString());
                return ExitCode.UNAVAILABLE;
            }
            if (response.get().status() != STATUS_OK) {
                console.printMessage(
                        "the instance returned no decision for request %s (status %d)"
                                .formatted(arguments.getFirst(), response.get().status()));
                return ExitCode.FAILED;
            }
            console.out().println(response.get().body().strip());
            return ExitCode.OK;
        }
    }
}
