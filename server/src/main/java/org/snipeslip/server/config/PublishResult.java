package org.snipeslip.server.config;

import java.util.List;
import java.util.Optional;
import org.snipeslip.core.id.Generation;

/** How a publication ended. */
public sealed interface PublishResult {
    /**
     * The set is in force.
     *
     * @param generation its number
     * @param changes how it differs from the previous one
     * @param deletedParts number of old parts deleted afterwards
     */
    record Published(Generation generation, List<ConfigChange> changes, int deletedParts)
            implements PublishResult {
        /** Copies the list. */
        public Published {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The set was in force already; nothing was written.
     *
     * @param generation its number
     */
    record Unchanged(Generation generation) implements PublishResult {}

    /**
     * Another publication came first; nothing of this one is in force.
     *
     * @param winner generation in force, or the lowest it can be if the head cannot be read
     * @param writer identity of the publication that wrote it; empty if the head cannot be read
     * @param differing how this set differs from the one in force; empty if that one cannot be read
     */
    record Conflicted(Generation winner, String writer, Optional<List<ConfigChange>> differing)
            implements PublishResult {}

    /**
     * The answer to the write was lost and a later generation is in force. This publication may
     * have been in force in between.
     *
     * @param own the number that this publication would have
     * @param inForce generation in force
     * @param writer identity of the publication that wrote it
     */
    record Superseded(Generation own, Generation inForce, String writer) implements PublishResult {}

    /**
     * The answer to the write was lost and the head cannot be read. This publication may be in
     * force.
     *
     * @param own the number that this publication would have
     * @param writer identity of this publication, found in the head if it is in force
     */
    record Unresolved(Generation own, String writer) implements PublishResult {}

    /**
     * Nothing of this publication is in force.
     *
     * @param problem the reason
     */
    record Failed(StoreProblem problem) implements PublishResult {}
}
