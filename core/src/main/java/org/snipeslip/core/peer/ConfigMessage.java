package org.snipeslip.core.peer;

import io.vavr.control.Option;
import java.util.List;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.Generation;

/** Messages that distribute the configuration among the instances. */
public sealed interface ConfigMessage extends PeerMessage {
    /**
     * Announces that a generation is in force at the sender.
     *
     * @param generation the generation in force
     */
    record ConfigAnnounce(Generation generation) implements ConfigMessage {}

    /**
     * Requests parts of the configuration, or the head if it is newer than the sender's.
     *
     * @param have the generation in force at the sender
     * @param digests digests of the requested parts; an empty list requests the head instead
     */
    record ConfigFetch(Generation have, List<String> digests) implements ConfigMessage {
        /** Copies the list. */
        public ConfigFetch {
            digests = List.copyOf(digests);
        }
    }

    /**
     * Answers a {@link ConfigFetch}.
     *
     * @param head the head in force at the sender, if the head was requested
     * @param parts the requested parts that the sender has, as many as fit into one message
     */
    record ConfigParts(Option<ConfigHead> head, List<ConfigPart> parts) implements ConfigMessage {
        /** Copies the list. */
        public ConfigParts {
            parts = List.copyOf(parts);
        }
    }
}
