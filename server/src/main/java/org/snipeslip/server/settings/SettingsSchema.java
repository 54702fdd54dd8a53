package org.snipeslip.server.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.snipeslip.server.settings.SettingsFault.Rule;

/** Validates settings against the JSON schema and reports the allowed values of faulty keys. */
final class SettingsSchema {
    private static final String RESOURCE = "settings-schema.json";
    private static final String ROOT = "$";

    private final JsonNode tree;
    private final JsonSchema schema;

    SettingsSchema() {
        try (InputStream in = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
            tree = new ObjectMapper().readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "cannot read a resource that is part of this program: " + RESOURCE, e);
        }
        schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(tree);
    }

    List<SettingsFault> check(JsonNode settings) {
        List<SettingsFault> faults = new ArrayList<>();
        for (ValidationMessage message : schema.validate(settings)) {
            faults.add(fault(message, settings));
        }
        return faults;
    }

    private SettingsFault fault(ValidationMessage message, JsonNode settings) {
        String parent = toKey(message.getInstanceLocation().toString());
        return switch (message.getType()) {
            case "additionalProperties" ->
                    new SettingsFault(
                            join(parent, message.getProperty()),
                            Rule.UNKNOWN_KEY,
                            "allowed " + propertyNames(schemaAt(parent)));
            case "required" -> {
                String key = join(parent, message.getProperty());
                yield new SettingsFault(key, Rule.MISSING_KEY, "required: " + allowed(key));
            }
            case "type" -> new SettingsFault(parent, Rule.WRONG_TYPE, detail(parent, settings));
            default -> new SettingsFault(parent, Rule.OUT_OF_RANGE, detail(parent, settings));
        };
    }

    private String detail(String key, JsonNode settings) {
        JsonNode found = settings;
        for (String segment : pathSegments(key)) {
            found = found.isArray() ? found.path(Integer.parseInt(segment)) : found.path(segment);
        }
        // The value of peerKey is a secret and must not appear in messages.
        String value = key.equals("peerKey") ? "a value" : found.toString();
        return "found %s, allowed %s".formatted(value, allowed(key));
    }

    /**
     * Describes the allowed values of a key, for fault messages.
     *
     * @param key path of the key
     * @return the range, the list of values, or the description from the schema
     */
    String allowed(String key) {
        JsonNode node = schemaAt(key);
        if (node.has("enum")) {
            List<String> values = new ArrayList<>();
            node.path("enum").forEach(value -> values.add(value.asText()));
            return "one of " + String.join(", ", values);
        }
        if (node.has("minimum")) {
            return "integer from %s to %s".formatted(node.path("minimum"), node.path("maximum"));
        }
        return node.path("description").asText("map of " + String.join(", ", propertyNames(node)));
    }

    private JsonNode schemaAt(String key) {
        JsonNode node = tree;
        for (String segment : pathSegments(key)) {
            node = node.has("items") ? node.path("items") : node.path("properties").path(segment);
            if (node.has("$ref")) {
                String reference = node.path("$ref").asText();
                node = tree.at(reference.substring(1));
            }
        }
        return node;
    }

    private static TreeSet<String> propertyNames(JsonNode node) {
        TreeSet<String> keys = new TreeSet<>();
        node.path("properties").fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    private static String toKey(String location) {
        String key = location.startsWith(ROOT) ? location.substring(1) : location;
        return key.startsWith(".") ? key.substring(1) : key;
    }

    private static String[] pathSegments(String key) {
        return key.isEmpty() ? new String[0] : key.replace("]", "").split("[.\\[]");
    }

    private static String join(String parent, String name) {
        return parent.isEmpty() ? name : parent + "." + name;
    }
}
