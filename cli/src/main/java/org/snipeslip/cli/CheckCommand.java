package org.snipeslip.cli;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.snipeslip.core.config.ConfigWarning;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.server.config.ConfigInput;

/** Validates configuration files together, without publishing them. */
final class CheckCommand extends Command {
    private final OptionSpec<Void> json =
            parser().accepts("json", "Print the faults as JSON on standard output.");

    private final OptionSpec<Void> strict =
            parser().accepts("strict", "Exit with the code for faults if there are warnings.");

    CheckCommand() {
        super(
                "check",
                InputFiles.FILES_ARGUMENT,
                "Check configuration files together as one configuration.");
    }

    @Override
    ExitCode run(OptionSet options, Console console) throws UsageException, IOException {
        ConfigInput input = InputFiles.read(positionalArguments(options));
        List<ConfigFault> faults = input.check();
        List<ConfigWarning> warnings = input.advice();
        if (options.has(json)) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("objects", input.objects().size());
            result.put("faults", faults);
            result.put("warnings", warnings);
            console.printJson(result);
        } else if (faults.isEmpty()) {
            InputFiles.printWarnings(warnings, console);
            console.out().println(input.objects().size() + " objects, no faults");
        } else {
            InputFiles.printFaults(faults, console);
        }
        boolean passed = faults.isEmpty() && (warnings.isEmpty() || !options.has(strict));
        return passed ? ExitCode.OK : ExitCode.FAULTS;
    }
}
