package org.snipeslip.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.server.config.ConfigInput;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.config.PublishedConfig;
import org.snipeslip.server.config.PublishedReader;
import org.snipeslip.server.config.StoreProblem;

/** Checks configuration files and publishes them as the complete configuration. */
final class PublishCommand extends StoreCommand {
    private final OptionSpec<Long> expectedGeneration =
            parser().accepts(
                            "expect-generation",
                            "Publish only if this generation is in force, so that no change by"
                                    + " another operator is overwritten.")
                    .withRequiredArg()
                    .ofType(Long.class);

    private final OptionSpec<Void> repair =
            parser().accepts(
                            "repair",
                            "Publish even if parts of the configuration in force are missing or"
                                    + " damaged.");

    PublishCommand() {
        super(
                "publish",
                InputFiles.FILES_ARGUMENT,
                "Check configuration files and publish them as the complete configuration.");
    }

    @Override
    ExitCode run(OptionSet options, Console console, ObjectStore store)
            throws UsageException, IOException {
        ConfigInput input = InputFiles.read(positionalArguments(options));
        List<ConfigFault> faults = input.check();
        if (!faults.isEmpty()) {
            InputFiles.printFaults(faults, console);
            return ExitCode.FAULTS;
        }
        PublishedReader reader = reader(store, console);
        Either<StoreProblem, PublishedConfig> base = reader.read();
        if (options.has(repair) && base.isLeft() && isDamage(base.getLeft())) {
            base = reader.readHead().map(PublishedConfig::withoutParts);
        }
        if (base.isLeft()) {
            return report(base, console);
        }
        long generation = base.get().head().generation().number();
        if (options.has(expectedGeneration) && options.valueOf(expectedGeneration) != generation) {
            console.printMessage(
                    "nothing published: expected generation "
                            + options.valueOf(expectedGeneration)
                            + ", but generation "
                            + generation
                            + " is in force");
            return ExitCode.CONFLICT;
        }
        warnAboutServiceStateChanges(base.get().objects(), input.configObjects(), console);
        return new PublishReport(console, isJson(options))
                .print(publisher(store, console).publish(base.get(), input.configObjects()));
    }

    private static boolean isDamage(StoreProblem problem) {
        return problem instanceof StoreProblem.Damaged
                || problem instanceof StoreProblem.MissingPart;
    }

    /**
     * Warns when the files change whether a failure domain is in service: files older than a
     * "domain leave" would otherwise return the failure domain to service unnoticed.
     */
    private static void warnAboutServiceStateChanges(
            List<ConfigObject> published, List<ConfigObject> files, Console console) {
        Map<FailureDomainId, Boolean> inServiceById =
                published.stream()
                        .filter(FailureDomain.class::isInstance)
                        .map(FailureDomain.class::cast)
                        .collect(Collectors.toMap(FailureDomain::id, FailureDomain::inService));
        for (ConfigObject object : files) {
            if (object instanceof FailureDomain domain
                    && inServiceById.getOrDefault(domain.id(), domain.inService())
                            != domain.inService()) {
                console.printMessage(
                        "warning: the files take failure domain %s %s service"
                                .formatted(domain.id(), domain.inService() ? "into" : "out of"));
            }
        }
    }
}
