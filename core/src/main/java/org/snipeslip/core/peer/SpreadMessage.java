package org.snipeslip.core.peer;

import io.vavr.control.Option;
import java.util.List;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.Generation;

/** Messages that spread the configuration. */
public sealed interface SpreadMessage extends PeerMessage {
    /**
     * Tells that a generation is in force at the sender.
     *
     * @param generation the generation
     */
    record ConfigAnnounce(Generation generation) implements SpreadMessage {}

    /**
     * Asks for the head newer than a generation, and for parts.
     *
     * @param have the generation in force at the sender
     * @param digests digests of the wanted parts; empty asks for the head alone
     */
    record ConfigFetch(Generation have, List<String> digests) implements SpreadMessage {
        /** Copies the list. */
        public ConfigFetch {
            digests = List.copyOf(digests);
        }
    }

    /**
     * Answers a {@link ConfigFetch}.
     *
     * @param head the head in force at the sender, if the head was asked for
     * @param parts those of the wanted parts that fit into one message
     */
    record ConfigParts(Option<ConfigHead> head, List<ConfigPart> parts) implements SpreadMessage {
        /** Copies the list. */
        public ConfigParts {
            parts = List.copyOf(parts);
        }
    }
}
