package org.snipeslip.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.server.config.ConfigInput;
import org.snipeslip.server.config.ConfigYaml;

/** Reads the configuration files that a command names. */
final class InputFiles {
    static final String ARGUMENT = "FILES...";

    private InputFiles() {}

    /**
     * Reads files; a folder stands for the .yaml files directly in it.
     *
     * @throws UsageException if no file is named
     * @throws BadInputException if a file cannot be read
     */
    static ConfigInput read(List<String> names) throws UsageException, BadInputException {
        if (names.isEmpty()) {
            throw new UsageException("no file given");
        }
        try {
            List<Path> files = new ArrayList<>();
            for (String name : names) {
                Path path = Path.of(name);
                if (Files.isDirectory(path)) {
                    addFolder(path, files);
                } else {
                    files.add(path);
                }
            }
            return new ConfigYaml().read(files);
        } catch (IOException e) {
            throw new BadInputException(e);
        }
    }

    private static void addFolder(Path folder, List<Path> files) throws IOException {
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> found =
                    entries.filter(entry -> entry.toString().endsWith(".yaml")).sorted().toList();
            if (found.isEmpty()) {
                throw new IOException(folder + " contains no .yaml file");
            }
            files.addAll(found);
        }
    }

    static void print(List<ConfigFault> faults, Console console) {
        faults.forEach(fault -> console.err().println(fault));
        console.message(faults.size() + (faults.size() == 1 ? " fault" : " faults"));
    }
}
