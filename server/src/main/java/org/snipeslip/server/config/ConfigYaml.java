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

/** Reads and writes YAML files of configuration objects, one object a document. */
public final class ConfigYaml {
    /** Largest file; a whole set is at most as large. SnakeYAML stops at 3 MiB by default. */
    private static final int MAX_FILE_BYTES = 16 << 20;

    private final ObjectMapper mapper;
    private final ConfigJson json = new ConfigJson();

    /** Creates a reader and writer. */
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
     * Reads files.
     *
     * @param files the files
     * @return objects and faults of all of them
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
     * Reads a text.
     *
     * @param source file name, for messages
     * @param text YAML documents
     * @return its objects and faults
     */
    public ConfigInput parse(String source, String text) {
        List<SourcedObject> objects = new ArrayList<>();
        List<ConfigFault> faults = new ArrayList<>();
        try {
            refuseAliases(text);
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
            faults.add(syntax(source, e));
        } catch (IOException e) {
            throw new UncheckedIOException("a text in memory cannot fail to be read", e);
        } catch (RuntimeException e) {
            // MappingIterator wraps checked exceptions in its Iterator methods.
            if (e.getCause() instanceof JsonProcessingException cause) {
                faults.add(syntax(source, cause));
            } else {
                throw e;
            }
        }
        return new ConfigInput(objects, faults);
    }

    /** Jackson reads an alias as a text with the name of its anchor, a wrong value. */
    private void refuseAliases(String text) throws IOException {
        try (JsonParser parser = mapper.createParser(text)) {
            while (hasMore(parser)) {
                if (((YAMLParser) parser).isCurrentAlias()) {
                    throw new JsonParseException(
                            parser, "YAML aliases are not supported", parser.currentLocation());
                }
            }
        }
    }

    private static boolean hasMore(JsonParser parser) throws IOException {
        JsonToken token = parser.nextToken();
        // Null stands between documents and also ends the text; it comes twice at the end.
        return token != null || parser.nextToken() != null;
    }

    private void addObject(
            String source, JsonNode node, List<SourcedObject> objects, List<ConfigFault> faults) {
        Either<List<ConfigFault>, ConfigObject> read = ObjectReader.read(source, node);
        if (read.isLeft()) {
            faults.addAll(read.getLeft());
        } else {
            ConfigObject object = read.get();
            long sizeBytes =
                    json.encodeObject(object).text().getBytes(StandardCharsets.UTF_8).length;
            objects.add(new SourcedObject(source, object, sizeBytes));
        }
    }

    private static ConfigFault syntax(String source, JsonProcessingException e) {
        String line = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
        String message = String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
        return new ConfigFault(source, "", "", Rule.SYNTAX, line + message);
    }

    /**
     * Writes objects so that {@link #parse} reads them back.
     *
     * @param objects the objects
     * @return one YAML document for each
     */
    public String write(List<ConfigObject> objects) {
        StringBuilder text = new StringBuilder();
        for (ConfigObject object : objects) {
            try {
                text.append(mapper.writeValueAsString(ObjectWriter.write(object)));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a tree of plain values cannot fail", e);
            }
        }
        return text.toString();
    }

    /**
     * Returns objects as trees, for output in other formats.
     *
     * @param objects the objects
     * @return one tree for each
     */
    public List<JsonNode> toJsonTrees(List<ConfigObject> objects) {
        return objects.stream().map(ObjectWriter::write).map(JsonNode.class::cast).toList();
    }
}
