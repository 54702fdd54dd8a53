package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.id.Generation;

/**
 * The published manifest of one generation, which lists its parts.
 *
 * @param generation the generation
 * @param writer identifier of the publication; shows after a lost response whether the write took
 *     effect
 * @param digests digests of the parts, sorted by kind and name of their objects
 */
public record ConfigHead(Generation generation, String writer, List<String> digests) {
    /** Key of the head in the object API. */
    public static final String KEY = "config/head";

    /** Prefix of the keys of the parts in the object API. */
    public static final String PART_PREFIX = "config/part/";

    /** Copies the list. */
    public ConfigHead {
        digests = List.copyOf(digests);
    }
}
