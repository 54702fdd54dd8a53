package org.snipeslip.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.server.config.FailureDomainSwitch;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishResult;

/** Takes a failure domain out of service or returns it to service. */
final class DomainCommand extends StoreCommand {
    private static final String LEAVE = "leave";
    private static final String RETURN = "return";

    DomainCommand() {
        super(
                "domain",
                "leave|return NAME",
                "Take a failure domain out of service, or return it to service.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store) throws UsageException {
        List<String> arguments = positionalArguments(options);
        boolean valid =
                arguments.size() == 2
                        && List.of(LEAVE, RETURN).contains(arguments.getFirst())
                        && !arguments.getLast().isBlank();
        if (!valid) {
            throw new UsageException(
                    "expected \"leave\" or \"return\", followed by the name of a failure domain");
        }
        FailureDomainSwitch domainSwitch =
                new FailureDomainSwitch(reader(store, console), publisher(store, console));
        Optional<PublishResult> result =
                domainSwitch.setInService(
                        new FailureDomainId(arguments.getLast()),
                        arguments.getFirst().equals(RETURN));
        if (result.isEmpty()) {
            console.printMessage("no such FailureDomain: " + arguments.getLast());
            return ExitCode.FAILED;
        }
        return new PublishReport(console, isJson(options)).print(result.get());
    }
}
