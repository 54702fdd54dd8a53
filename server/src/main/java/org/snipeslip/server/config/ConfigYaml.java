package org.snipeslip.server.config;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.SourcedObject;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.yaml.snakeyaml.LoaderOptions;

/** Reads and writes configuration objects as YAML, one object per document. */
public final class ConfigYaml {
    /** Maximum size of a file and of a whole set. The default limit of SnakeYAML is 3 MiB. */
    private static final int MAX_FILE_BYTES = 16 << 20;

    private final ObjectMapper mapper;
    private final ConfigJson json = new ConfigJson();

    /** Creates a mapper that rejects duplicate keys and reads words such as "no" as strings. */
    public ConfigYaml() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_FILE_BYTES);
        YAMLFactory factory =
                YAMLFactory.builder()
                        .loaderOptions(options)
                        .enable(YAMLParser.Feature.PARSE_BOOLEAN_LIKE_WORDS_AS_STRINGS)
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .disable(YAMLGenerator.Feature.SPLIT_LINES)
                        .build();
        mapper = new ObjectMapper(factory);
    }

    /**
     * Reads all documents of the given files. Invalid content is reported as a fault.
     *
     * @param files the files, in UTF-8
     * @return the objects and faults of all files
     * @throws IOException if a file cannot be read
     */
    public ConfigInput read(List<Path> files) throws IOException {
        List<SourcedObject> objects = new ArrayList<>();
        List<ConfigFault> faults = new ArrayList<>();
        for (Path file : files) {
            if (Files.size(file) > MAX_FILE_BYTES) {
                String detail = "allowed " + MAX_FILE_BYTES + " bytes";
                faults.add(new ConfigFault(file.toString(), "", "", Rule.TOO_LARGE, detail));
            } else {
                ConfigInput input = parse(file.toString(), Files.readString(file));
                objects.addAll(input.objects());
                faults.addAll(input.faults());
            }
        }
        return new ConfigInput(objects, faults);
    }

    /**
     * Parses YAML text. Empty documents are skipped.
     *
     * @param source file name, used in fault messages
     * @param text YAML documents
     * @return the objects and faults of the text
     */
    public ConfigInput parse(String source, String text) {
        List<SourcedObject> objects = new ArrayList<>();
        List<ConfigFault> faults = new ArrayList<>();
        try {
            rejectAliases(text);
            try (MappingIterator<JsonNode> documents =
                    mapper.readerFor(JsonNode.class).readValues(text)) {
                while (documents.hasNext()) {
                    JsonNode node = documents.next();
                    if (node != null && !node.isNull() && !node.isMissingNode()) {
                        addObject(source, node, objects, faults);
                    }
                }
            }
        } catch (JsonProcessingException e) {
            faults.add(syntaxFault(source, e));
        } catch (IOException e) {
            throw new UncheckedIOException("I/O error while parsing YAML text from memory", e);
        } catch (RuntimeException e) {
            // MappingIterator wraps checked exceptions in its Iterator methods.
            if (e.getCause() instanceof JsonProcessingException cause) {
                faults.add(syntaxFault(source, cause));
            } else {
                throw e;
            }
        }
        return new ConfigInput(objects, faults);
    }

    /** Rejects aliases, because Jackson reads an alias as a string with the name of its anchor. */
    private void rejectAliases(String text) throws IOException {
        try (JsonParser parser = mapper.createParser(text)) {
            while (hasNextToken(parser)) {
                if (((YAMLParser) parser).isCurrentAlias()) {
                    throw new JsonParseException(
                            parser, "YAML aliases are not supported", parser.currentLocation());
                }
            }
        }
    }

    private static boolean hasNextToken(JsonParser parser) throws IOException {
        JsonToken token = parser.nextToken();
        // The parser returns one null token between documents and two at the end of the text.
        return token != null || parser.nextToken() != null;
    }

    private void addObject(
            String source, JsonNode node, List<SourcedObject> objects, List<ConfigFault> faults) {
        Either<List<ConfigFault>, ConfigObject> result = ObjectReader.read(source, node);
        if (result.isLeft()) {
            faults.addAll(result.getLeft());
        } else {
            ConfigObject object = result.get();
            long sizeBytes =
                    json.encodeObject(object).text().getBytes(StandardCharsets.UTF_8).length;
            objects.add(new SourcedObject(source, object, sizeBytes));
        }
    }

    private static ConfigFault syntaxFault(String source, JsonProcessingException e) {
        String line = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
        String message = String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
        return new ConfigFault(source, "", "", Rule.SYNTAX, line + message);
    }

    /**
     * Writes objects as YAML that {@link #parse} can read back.
     *
     * @param objects the objects
     * @return YAML text with one document per object
     */
    public String write(List<ConfigObject> objects) {
        StringBuilder text = new StringBuilder();
        for (ConfigObject object : objects) {
            try {
                text.append(mapper.writeValueAsString(ObjectWriter.write(object)));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("cannot write configuration object as YAML", e);
            }
        }
        return text.toString();
    }

    /**
     * Converts objects to JSON trees, for output in other formats.
     *
     * @param objects the objects
     * @return one tree per object, in the same order
     */
    public List<JsonNode> toJsonTrees(List<ConfigObject> objects) {
        return objects.stream().map(ObjectWriter::write).map(JsonNode.class::cast).toList();
    }
}
