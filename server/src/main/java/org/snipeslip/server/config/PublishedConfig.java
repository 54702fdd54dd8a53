package org.snipeslip.server.config;

import java.util.List;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.id.Generation;

/**
 * A configuration as read from the object API.
 *
 * @param headVersion object API version of the head; 0 if nothing has been published yet
 * @param head generation, writer and digests of the parts
 * @param objects the decoded objects, ordered by kind and name
 */
public record PublishedConfig(long headVersion, ConfigHead head, List<ConfigObject> objects) {
    /** The state before the first publication. */
    public static final PublishedConfig NONE =
            new PublishedConfig(0, new ConfigHead(Generation.NONE, "", List.of()), List.of());

    /** Makes a defensive copy of the list. */
    public PublishedConfig {
        objects = List.copyOf(objects);
    }

    /**
     * Returns a copy without parts and objects. A publication based on the copy writes all its
     * parts, which repairs a configuration with missing or damaged parts.
     *
     * @return the copy, with the same head version, generation and writer
     */
    public PublishedConfig withoutParts() {
        ConfigHead emptyHead = new ConfigHead(head.generation(), head.writer(), List.of());
        return new PublishedConfig(headVersion, emptyHead, List.of());
    }
}
