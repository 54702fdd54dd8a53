package org.snipeslip.core.error;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One fault in a set of configuration objects.
 *
 * @param source file or key that holds the object
 * @param object kind and name of the object, or empty if it has none
 * @param field the field, or empty for the whole object
 * @param rule the rule that was broken
 * @param detail the value found and what is allowed
 */
public record ConfigFault(String source, String object, String field, Rule rule, String detail) {
    @Override
    public String toString() {
        return Stream.of(source, object, field, rule.name(), detail)
                .filter(text -> !text.isEmpty())
                .collect(Collectors.joining(": "));
    }

    /** The rules of a configuration. */
    public enum Rule {
        /** The text is no valid YAML or JSON. */
        SYNTAX,
        /** The kind is not known. */
        UNKNOWN_KIND,
        /** The field is not known. */
        UNKNOWN_FIELD,
        /** A field is missing. */
        MISSING_FIELD,
        /** A field has the wrong type. */
        WRONG_TYPE,
        /** A value is out of its range. */
        OUT_OF_RANGE,
        /** A text does not have the required form. */
        INVALID_FORMAT,
        /** A backend server is not named by an IP address. */
        NOT_AN_IP_ADDRESS,
        /** Two objects of a kind have one name. */
        DUPLICATE_NAME,
        /** The object that a field names does not exist. */
        DANGLING_REFERENCE,
        /** Two routes match the same calls. */
        AMBIGUOUS_ROUTE,
        /** A home region has no backend server of the service. */
        NO_BACKEND_SERVER_IN_HOME_REGION,
        /** An organisation and a route have no home region in common. */
        HOME_REGIONS_DISJOINT,
        /** The set must name exactly one region that hosts the object API. */
        OBJECT_API_REGION,
        /** Two backend servers have one address. */
        DUPLICATE_ADDRESS,
        /** The set exceeds a size limit. */
        TOO_LARGE
    }
}
