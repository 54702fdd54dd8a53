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
 * Reads the typed fields of one JSON object and collects its faults. After a fault a placeholder is
 * returned, so that the fields behind it are read too; the caller must discard the result.
 */
final class FieldReader {
    static final String PLACEHOLDER = "\u0000";

    private final String source;
    private final String object;
    private final String prefix;
    private final JsonNode node;
    private final List<ConfigFault> faults;
    private final Set<String> known = new HashSet<>();

    FieldReader(
            String source, String object, String prefix, JsonNode node, List<ConfigFault> faults) {
        this.source = source;
        this.object = object;
        this.prefix = prefix;
        this.node = node;
        this.faults = faults;
    }

    /** Reads an object inside a list. */
    FieldReader inner(String field, JsonNode inner) {
        return new FieldReader(source, object, field + ".", inner, faults);
    }

    String text(String field) {
        return required(field) ? textOr(field, PLACEHOLDER) : PLACEHOLDER;
    }

    String textOr(String field, String absent) {
        known.add(field);
        JsonNode value = node.get(field);
        return value == null ? absent : textOf(field, value);
    }

    long integer(String field, long min, long max) {
        return required(field) ? integerOr(field, 1, min, max) : 1;
    }

    /** Bounds are those of the Java type; the configuration check applies the narrower ones. */
    long integerOr(String field, long absent, long min, long max) {
        known.add(field);
        JsonNode value = node.get(field);
        if (value == null) {
            return absent;
        }
        if (!value.isIntegralNumber()) {
            wrongType(field, "an integer", value);
            return 1;
        }
        if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
            add(field, Rule.OUT_OF_RANGE, "found " + value + ", allowed " + min + " to " + max);
            return 1;
        }
        return value.longValue();
    }

    int intOr(String field, int absent) {
        return (int) integerOr(field, absent, Integer.MIN_VALUE, Integer.MAX_VALUE);
    }

    boolean booleanOr(String field, boolean absent) {
        known.add(field);
        JsonNode value = node.get(field);
        if (value == null) {
            return absent;
        }
        if (!value.isBoolean()) {
            wrongType(field, "true or false", value);
        }
        return value.booleanValue();
    }

    Set<String> textsOr(String field, Set<String> absent) {
        known.add(field);
        if (!node.has(field)) {
            return absent;
        }
        Set<String> texts = new TreeSet<>();
        List<JsonNode> elements = elements(field);
        for (int i = 0; i < elements.size(); i++) {
            String text = textOf(field + "[" + i + "]", elements.get(i));
            if (!texts.add(text) && !text.equals(PLACEHOLDER)) {
                add(field + "[" + i + "]", Rule.DUPLICATE_NAME, "found \"" + text + "\" twice");
            }
        }
        return texts;
    }

    List<JsonNode> requiredElements(String field) {
        return required(field) ? elements(field) : List.of();
    }

    List<JsonNode> elementsOrNone(String field) {
        known.add(field);
        return node.has(field) ? elements(field) : List.of();
    }

    /** Reports the fields that no method has asked for. */
    void finish() {
        node.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!known.contains(field)) {
                                String allowed = "allowed " + new TreeSet<>(known);
                                add(field, Rule.UNKNOWN_FIELD, allowed);
                            }
                        });
    }

    boolean isObject() {
        return node.isObject();
    }

    void add(String field, Rule rule, String detail) {
        faults.add(new ConfigFault(source, object, prefix + field, rule, detail));
    }

    void wrongType(String field, String expected, JsonNode found) {
        String detail = "found %s, required %s".formatted(shortened(found), expected);
        add(field, Rule.WRONG_TYPE, detail);
    }

    private boolean required(String field) {
        known.add(field);
        if (node.has(field)) {
            return true;
        }
        add(field, Rule.MISSING_FIELD, "the field is required");
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

    private String textOf(String field, JsonNode value) {
        if (!value.isTextual()) {
            wrongType(field, "a text", value);
            return PLACEHOLDER;
        }
        if (value.textValue().isBlank()) {
            add(field, Rule.INVALID_FORMAT, "found a blank text");
            return PLACEHOLDER;
        }
        return value.textValue();
    }

    private static String shortened(JsonNode node) {
        String text = node.toString();
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
