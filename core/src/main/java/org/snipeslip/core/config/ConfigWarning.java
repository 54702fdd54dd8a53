package org.snipeslip.core.config;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A part of a valid set of configuration objects that probably does not do what its author meant.
 *
 * @param source file or key that contains the object
 * @param object kind and name of the object
 * @param field the field, or empty for the object as a whole
 * @param kind what is wrong with it
 * @param detail the values found
 */
public record ConfigWarning(String source, String object, String field, Kind kind, String detail) {
    @Override
    public String toString() {
        return Stream.of("warning", source, object, field, kind.name(), detail)
                .filter(text -> !text.isEmpty())
                .collect(Collectors.joining(": "));
    }

    /** What a warning is about. */
    public enum Kind {
        /** No call can match the entry. */
        NEVER_MATCHES,
        /** Nothing refers to the entry, or other entries keep it from having an effect. */
        NO_EFFECT,
        /** Two limits cannot both be reached. */
        CONTRADICTORY_LIMITS,
        /** Calls that match are always refused. */
        ALWAYS_REFUSED
    }
}
