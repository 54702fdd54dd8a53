package org.snipeslip.core.error;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A violation of a validation rule by a set of configuration objects.
 *
 * @param source file or key that contains the object
 * @param object kind and name of the object, or empty if no single object is at fault
 * @param field the field, or empty for the object as a whole
 * @param rule the violated rule
 * @param detail the value found and the values allowed
 */
public record ConfigFault(String source, String object, String field, Rule rule, String detail) {
    @Override
    public String toString() {
        return Stream.of(source, object, field, rule.name(), detail)
                .filter(text -> !text.isEmpty())
                .collect(Collectors.joining(": "));
    }

    /** Validation rules of a configuration. */
    public enum Rule {
        /** The text is not valid YAML or JSON. */
        SYNTAX,
        /** The object has an unknown kind. */
        UNKNOWN_KIND,
        /** The object has an unknown field. */
        UNKNOWN_FIELD,
        /** A required field is missing. */
        MISSING_FIELD,
        /** The value of a field has the wrong type. */
        WRONG_TYPE,
        /** A value is outside the allowed range. */
        OUT_OF_RANGE,
        /** A text does not match the required format. */
        INVALID_FORMAT,
        /** The host of a backend server is not a unicast IP address. */
        NOT_AN_IP_ADDRESS,
        /** Two objects of a kind have the same name. */
        DUPLICATE_NAME,
        /** The object that a field refers to does not exist. */
        DANGLING_REFERENCE,
        /** Two routes match the same calls. */
        AMBIGUOUS_ROUTE,
        /** A required home region has no backend server of the service. */
        NO_BACKEND_SERVER_IN_HOME_REGION,
        /** An organisation and a route have no home region in common. */
        HOME_REGIONS_DISJOINT,
        /** Not exactly one home region hosts the object API. */
        OBJECT_API_REGION,
        /** Two backend servers have the same address and port. */
        DUPLICATE_ADDRESS,
        /** An object or the set exceeds a size limit. */
        TOO_LARGE
    }
}
