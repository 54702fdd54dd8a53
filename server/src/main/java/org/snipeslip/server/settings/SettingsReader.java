package org.snipeslip.server.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.server.settings.SettingsFault.Rule;

/** Reads and validates the YAML settings of a process. */
public final class SettingsReader {
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final SettingsSchema schema = new SettingsSchema();
    private final ObjectMapper mapper =
            new ObjectMapper(
                    YAMLFactory.builder()
                            .enable(YAMLParser.Feature.PARSE_BOOLEAN_LIKE_WORDS_AS_STRINGS)
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .build());

    /**
     * Reads a file. A relative path of the peer key file is resolved against its folder.
     *
     * @param file the settings file
     * @param incarnation number that increases with each start; also the random seed
     * @return the settings, or all faults
     */
    public Either<List<SettingsFault>, ProcessSettings> read(Path file, long incarnation) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                return fault(Rule.UNREADABLE, "allowed " + MAX_FILE_BYTES + " bytes");
            }
            Path folder = file.toAbsolutePath().getParent();
            return parse(Files.readString(file), folder, incarnation);
        } catch (IOException e) {
            return fault(Rule.UNREADABLE, e.toString());
        }
    }

    /**
     * Parses settings.
     *
     * @param text YAML
     * @param folder folder against which relative paths are resolved
     * @param incarnation number that increases with each start; also the random seed
     * @return the settings, or all faults
     */
    public Either<List<SettingsFault>, ProcessSettings> parse(
            String text, Path folder, long incarnation) {
        JsonNode node;
        try {
            node = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            return fault(Rule.SYNTAX, String.valueOf(e.getOriginalMessage()));
        }
        List<SettingsFault> faults = new ArrayList<>(schema.check(node));
        if (!faults.isEmpty()) {
            return Either.left(List.copyOf(faults));
        }
        ProcessSettings settings =
                new SettingsAssembler(node, folder, schema, faults).assemble(incarnation);
        return faults.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(faults));
    }

    private static Either<List<SettingsFault>, ProcessSettings> fault(Rule rule, String detail) {
        return Either.left(List.of(new SettingsFault("", rule, detail)));
    }
}
