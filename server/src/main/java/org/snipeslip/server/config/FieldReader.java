package org.snipeslip.server.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;

/**
 * Reads the typed fields of one JSON object and collects all faults. A faulty field is read as a
 * placeholder value, so that the remaining fields are checked too. The caller must discard the
 * object if there are faults.
 */
final class FieldReader {
    static final String PLACEHOLDER = "\u0000";

    private final String source;
    private final String object;
    private final String prefix;
    private final JsonNode node;
    private final List<ConfigFault> faults;
    private final Set<String> knownFields = new HashSet<>();

    FieldReader(
            String source, String object, String prefix, JsonNode node, List<ConfigFault> faults) {
        this.source = source;
        this.object = object;
        this.prefix = prefix;
        this.node = node;
        this.faults = faults;
    }

    /**
     * Returns a reader for an object in a list. Its faults contain the path of the list element.
     */
    FieldReader nested(String field, JsonNode element) {
        return new FieldReader(source, object, field + ".", element, faults);
    }

    String requiredString(String field) {
        return requirePresent(field) ? stringOr(field, PLACEHOLDER) : PLACEHOLDER;
    }

    String stringOr(String field, String defaultValue) {
        knownFields.add(field);
        JsonNode value = node.get(field);
        return value == null ? defaultValue : stringOf(field, value);
    }

    long requiredInteger(String field, long min, long max) {
        return requirePresent(field) ? integerOr(field, 1, min, max) : 1;
    }

    /** The bounds are those of the Java type; the configuration check applies narrower ones. */
    long integerOr(String field, long defaultValue, long min, long max) {
        knownFields.add(field);
        JsonNode value = node.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber()) {
            wrongType(field, "an integer", value);
            return 1;
        }
        if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
            addFault(
                    field, Rule.OUT_OF_RANGE, "found " + value + ", allowed " + min + " to " + max);
            return 1;
        }
        return value.longValue();
    }

    int intOr(String field, int defaultValue) {
        return (int) integerOr(field, defaultValue, Integer.MIN_VALUE, Integer.MAX_VALUE);
    }

    boolean booleanOr(String field, boolean defaultValue) {
        knownFields.add(field);
        JsonNode value = node.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            wrongType(field, "true or false", value);
        }
        return value.booleanValue();
    }

    Set<String> stringSetOr(String field, Set<String> defaultValue) {
        knownFields.add(field);
        if (!node.has(field)) {
            return defaultValue;
        }
        Set<String> texts = new TreeSet<>();
        List<JsonNode> elements = elements(field);
        for (int i = 0; i < elements.size(); i++) {
            String text = stringOf(field + "[" + i + "]", elements.get(i));
            if (!texts.add(text) && !text.equals(PLACEHOLDER)) {
                addFault(
                        field + "[" + i + "]", Rule.DUPLICATE_NAME, "found \"" + text + "\" twice");
            }
        }
        return texts;
    }

    List<JsonNode> requiredElements(String field) {
        return requirePresent(field) ? elements(field) : List.of();
    }

    List<JsonNode> elementsOrEmpty(String field) {
        knownFields.add(field);
        return node.has(field) ? elements(field) : List.of();
    }

    /** Reports a fault for each field that was not requested from this reader. */
    void reportUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!knownFields.contains(field)) {
                                String allowed = "allowed " + new TreeSet<>(knownFields);
                                addFault(field, Rule.UNKNOWN_FIELD, allowed);
                            }
                        });
    }

    boolean isObject() {
        return node.isObject();
    }

    void addFault(String field, Rule rule, String detail) {
        faults.add(new ConfigFault(source, object, prefix + field, rule, detail));
    }

    void wrongType(String field, String expected, JsonNode found) {
        String detail = "found %s, required %s".formatted(truncated(found), expected);
        addFault(field, Rule.WRONG_TYPE, detail);
    }

    private boolean requirePresent(String field) {
        knownFields.add(field);
        if (node.has(field)) {
            return true;
        }
        addFault(field, Rule.MISSING_FIELD, "the field is required");
        return false;
    }

    private List<JsonNode> elements(String field) {
        JsonNode value = node.get(field);
        List<JsonNode> elements = new ArrayList<>();
        if (value.isArray()) {
            value.forEach(elements::add);
        } else {
            wrongType(field, "a list", value);
        }
        return elements;
    }

    private String stringOf(String field, JsonNode value) {
        if (!value.isTextual()) {
            wrongType(field, "a text string", value);
            return PLACEHOLDER;
        }
        if (value.textValue().isBlank()) {
            addFault(field, Rule.INVALID_FORMAT, "found a blank text string");
            return PLACEHOLDER;
        }
        return value.textValue();
    }

    private static String truncated(JsonNode node) {
        String text = node.toString();
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
