package org.snipeslip.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.snipeslip.core.config.ConfigWarning;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.server.config.ConfigInput;
import org.snipeslip.server.config.ConfigYaml;

/** Reads the configuration files named as arguments of a command. */
final class InputFiles {
    static final String FILES_ARGUMENT = "FILES...";

    private InputFiles() {}

    /**
     * Reads files; a directory is replaced by the .yaml files directly in it, not in its
     * subdirectories.
     *
     * @throws UsageException if no file is specified
     * @throws BadInputException if a file cannot be read or a directory contains no .yaml file
     */
    static ConfigInput read(List<String> names) throws UsageException, BadInputException {
        if (names.isEmpty()) {
            throw new UsageException("no configuration file specified");
        }
        try {
            List<Path> files = new ArrayList<>();
            for (String name : names) {
                Path path = Path.of(name);
                if (Files.isDirectory(path)) {
                    addDirectory(path, files);
                } else {
                    files.add(path);
                }
            }
            return new ConfigYaml().read(files);
        } catch (IOException e) {
            throw new BadInputException(e);
        }
    }

    private static void addDirectory(Path directory, List<Path> files) throws IOException {
        try (Stream<Path> entries = Files.list(directory)) {
            List<Path> found =
                    entries.filter(entry -> entry.toString().endsWith(".yaml")).sorted().toList();
            if (found.isEmpty()) {
                throw new IOException(directory + " contains no .yaml file");
            }
            files.addAll(found);
        }
    }

    static void printFaults(List<ConfigFault> faults, Console console) {
        faults.forEach(fault -> console.err().println(fault));
        console.printMessage(faults.size() + (faults.size() == 1 ? " fault" : " faults"));
    }

    static void printWarnings(List<ConfigWarning> warnings, Console console) {
        warnings.forEach(warning -> console.err().println(warning));
    }
}
