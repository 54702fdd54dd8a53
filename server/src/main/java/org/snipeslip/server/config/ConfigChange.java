package org.snipeslip.server.config;

import java.util.List;

/**
 * How one object differs between two sets.
 *
 * @param object kind and name of the object
 * @param type what happened to it
 * @param fields the fields that differ; empty unless changed
 */
public record ConfigChange(String object, Type type, List<String> fields) {
    /** Copies the list. */
    public ConfigChange {
        fields = List.copyOf(fields);
    }

    /** What happened to an object. */
    public enum Type {
        /** Only the newer set has it. */
        ADDED,
        /** Only the older set has it. */
        REMOVED,
        /** Both have it, with different values. */
        CHANGED
    }
}
