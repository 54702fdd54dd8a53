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
 * Stores configuration objects as JSON, one object a part. Reading is as strict about fields and
 * types as reading files is. Value ranges and references are not checked again, so that a stricter
 * check in a later release does not keep an instance from a published configuration.
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
        long generation = fields.integer("generation", 1, Long.MAX_VALUE);
        String writer = fields.text("writer");
        List<String> digests = new ArrayList<>();
        for (JsonNode digest : fields.requiredElements("digests")) {
            if (digest.isTextual()) {
                digests.add(digest.textValue());
            } else {
                fields.wrongType("digests", "a text", digest);
            }
        }
        fields.finish();
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
            Either<ConfigFault, ConfigObject> read = decodeObject(part.digest(), part.text());
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            String label = read.get().label();
            if (!labels.add(label)) {
                return Either.left(
                        new ConfigFault(
                                part.digest(), label, "name", Rule.DUPLICATE_NAME, "found twice"));
            }
            objects.add(read.get());
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
     * Reads one object.
     *
     * @param source file or key, for messages
     * @param text JSON with a field "kind"
     * @return the object, or its first fault
     */
    public Either<ConfigFault, ConfigObject> decodeObject(String source, String text) {
        return parse(source, text)
                .flatMap(node -> ObjectReader.read(source, node).mapLeft(List::getFirst));
    }

    /**
     * Writes an object in its canonical form.
     *
     * @param object the object
     * @return the part that stores it
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
