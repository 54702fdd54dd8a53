package org.snipeslip.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.server.config.FailureDomainSwitch;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishResult;

/** Takes a failure domain out of service or back. */
final class DomainCommand extends StoreCommand {
    private static final String LEAVE = "leave";
    private static final String RETURN = "return";

    DomainCommand() {
        super("domain", "leave|return NAME", "Take a failure domain out of service, or back.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store) throws UsageException {
        List<String> words = words(options);
        boolean valid =
                words.size() == 2
                        && List.of(LEAVE, RETURN).contains(words.getFirst())
                        && !words.getLast().isBlank();
        if (!valid) {
            throw new UsageException("the arguments are leave or return, and a failure domain");
        }
        FailureDomainSwitch domainSwitch =
                new FailureDomainSwitch(reader(store, console), publisher(store, console));
        Optional<PublishResult> result =
                domainSwitch.setInService(
                        new FailureDomainId(words.getLast()), words.getFirst().equals(RETURN));
        if (result.isEmpty()) {
            console.message("there is no FailureDomain " + words.getLast());
            return ExitCode.FAILED;
        }
        return new PublishReport(console, isJson(options)).print(result.get());
    }
}
