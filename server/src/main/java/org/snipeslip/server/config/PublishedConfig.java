package org.snipeslip.server.config;

import java.util.List;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.id.Generation;

/**
 * A configuration as read from the object API.
 *
 * @param headVersion version of the head; 0 if nothing was published yet
 * @param head the head
 * @param objects its objects in order of kind and name
 */
public record PublishedConfig(long headVersion, ConfigHead head, List<ConfigObject> objects) {
    /** The state before the first publication. */
    public static final PublishedConfig NONE =
            new PublishedConfig(0, new ConfigHead(Generation.NONE, "", List.of()), List.of());

    /** Copies the list. */
    public PublishedConfig {
        objects = List.copyOf(objects);
    }

    /**
     * Forgets the parts, so that a publication in place of this one writes all of its own. That
     * repairs a configuration with missing or damaged parts.
     *
     * @return the same head version and generation without parts and objects
     */
    public PublishedConfig withoutParts() {
        ConfigHead bare = new ConfigHead(head.generation(), head.writer(), List.of());
        return new PublishedConfig(headVersion, bare, List.of());
    }
}
