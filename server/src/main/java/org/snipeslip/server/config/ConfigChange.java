package org.snipeslip.server.config;

import java.util.List;

/**
 * A difference in one object between two sets of configuration objects.
 *
 * @param object label of the object: its kind and name
 * @param type whether the object was added, removed or changed
 * @param fields names of the fields that differ; empty unless the type is CHANGED
 */
public record ConfigChange(String object, Type type, List<String> fields) {
    /** Makes a defensive copy of the list. */
    public ConfigChange {
        fields = List.copyOf(fields);
    }

    /** Type of a change. */
    public enum Type {
        /** Only the newer set contains the object. */
        ADDED,
        /** Only the older set contains the object. */
        REMOVED,
        /** Both sets contain the object, with different field values. */
        CHANGED
    }
}
