package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Shows the decisions that an instance made for one request. */
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
        List<String> words = words(options);
        if (words.size() != 1) {
            throw new UsageException("one request id is required");
        }
        String id = URLEncoder.encode(words.getFirst(), StandardCharsets.UTF_8);
        try (HttpSession session = new HttpSession()) {
            Either<IOException, HttpSession.Reply> reply =
                    session.get(options.valueOf(operator), "/explain?request=" + id);
            if (reply.isLeft()) {
                console.message(reply.getLeft().toString());
                return ExitCode.UNAVAILABLE;
            }
            if (reply.get().status() != STATUS_OK) {
                console.message(
                        "the instance has no decision for %s (status %d)"
                                .formatted(words.getFirst(), reply.get().status()));
                return ExitCode.FAILED;
            }
            console.out().println(reply.get().body().strip());
            return ExitCode.OK;
        }
    }
}
