package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.id.Generation;

/**
 * The published list of the parts of one generation.
 *
 * @param generation its number
 * @param writer identity of the publication, to settle a write whose answer was lost
 * @param digests digests of the parts, in order of kind and name
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
