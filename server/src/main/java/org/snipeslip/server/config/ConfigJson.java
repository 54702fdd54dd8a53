package org.snipeslip.server.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.snipeslip.core.id.Generation;

/**
 * Encodes and decodes the stored form of a configuration: a head and one JSON part per object.
 * Decoding checks fields and types as strictly as the reader of YAML files. Value ranges and
 * references are not checked again, so that an instance of a later release with stricter checks can
 * still load a configuration that was published before.
 */
public final class ConfigJson implements ConfigCodec {
    private final ObjectMapper mapper =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    @Override
    public Either<ConfigFault, ConfigHead> decodeHead(String text) {
        return parse(ConfigHead.KEY, text).flatMap(ConfigJson::readHead);
    }

    private static Either<ConfigFault, ConfigHead> readHead(JsonNode node) {
        List<ConfigFault> faults = new ArrayList<>();
        FieldReader fields = new FieldReader(ConfigHead.KEY, "", "", node, faults);
        if (!fields.isObject()) {
            fields.wrongType("", "a map", node);
            return Either.left(faults.getFirst());
        }
        long generation = fields.requiredInteger("generation", 1, Long.MAX_VALUE);
        String writer = fields.requiredString("writer");
        List<String> digests = new ArrayList<>();
        for (JsonNode digest : fields.requiredElements("digests")) {
            if (digest.isTextual()) {
                digests.add(digest.textValue());
            } else {
                fields.wrongType("digests", "a text string", digest);
            }
        }
        fields.reportUnknownFields();
        return faults.isEmpty()
                ? Either.right(new ConfigHead(new Generation(generation), writer, digests))
                : Either.left(faults.getFirst());
    }

    @Override
    public String encodeHead(ConfigHead head) {
        ObjectNode node = mapper.createObjectNode();
        node.put("generation", head.generation().number());
        node.put("writer", head.writer());
        head.digests().forEach(node.putArray("digests")::add);
        return node.toString();
    }

    @Override
    public Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts) {
        List<ConfigObject> objects = new ArrayList<>();
        Set<String> labels = new HashSet<>();
        for (ConfigPart part : parts) {
            Either<ConfigFault, ConfigObject> decoded = decodeObject(part.digest(), part.text());
            if (decoded.isLeft()) {
                return Either.left(decoded.getLeft());
            }
            String label = decoded.get().label();
            if (!labels.add(label)) {
                return Either.left(
                        new ConfigFault(
                                part.digest(), label, "name", Rule.DUPLICATE_NAME, "found twice"));
            }
            objects.add(decoded.get());
        }
        return Either.right(ConfigSet.of(head.generation(), objects));
    }

    @Override
    public String digest(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Decodes one object.
     *
     * @param source file name or object API key, used in fault messages
     * @param text JSON object with a "kind" field
     * @return the object, or the first fault found in it
     */
    public Either<ConfigFault, ConfigObject> decodeObject(String source, String text) {
        return parse(source, text)
                .flatMap(node -> ObjectReader.read(source, node).mapLeft(List::getFirst));
    }

    /**
     * Encodes an object in its canonical form, so that equal objects have equal digests.
     *
     * @param object the object
     * @return the part, whose digest is the hash of its text
     */
    public ConfigPart encodeObject(ConfigObject object) {
        String text = ObjectWriter.write(object).toString();
        return new ConfigPart(digest(text), text);
    }

    private Either<ConfigFault, JsonNode> parse(String source, String text) {
        try {
            return Either.right(mapper.readTree(text));
        } catch (JsonProcessingException e) {
            String detail = String.valueOf(e.getOriginalMessage());
            return Either.left(new ConfigFault(source, "", "", Rule.SYNTAX, detail));
        }
    }
}
