package org.snipeslip.server.config;

import java.util.List;
import java.util.Optional;
import org.snipeslip.core.id.Generation;

/** Result of a publication. */
public sealed interface PublishResult {
    /**
     * The new set is in force.
     *
     * @param generation generation of the new set
     * @param changes differences from the previous set
     * @param deletedParts number of unreferenced parts deleted after the publication
     */
    record Published(Generation generation, List<ConfigChange> changes, int deletedParts)
            implements PublishResult {
        /** Makes a defensive copy of the list. */
        public Published {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The set was already in force; nothing was written.
     *
     * @param generation generation in force
     */
    record Unchanged(Generation generation) implements PublishResult {}

    /**
     * Another publication wrote the head first; nothing of this publication is in force.
     *
     * @param winner generation in force, or its lower bound if the head cannot be read
     * @param writer id of the publication in force; empty if the head cannot be read
     * @param differing differences from the set in force; empty if that set cannot be read
     */
    record Conflicted(Generation winner, String writer, Optional<List<ConfigChange>> differing)
            implements PublishResult {}

    /**
     * The answer to the write was lost and a later generation is in force. This publication may
     * have been in force for a time.
     *
     * @param own generation that this publication tried to write
     * @param inForce generation in force
     * @param writer id of the publication in force
     */
    record Superseded(Generation own, Generation inForce, String writer) implements PublishResult {}

    /**
     * The answer to the write was lost and the head cannot be read. This publication may be in
     * force.
     *
     * @param own generation that this publication tried to write
     * @param writer id of this publication; the head contains it if the publication is in force
     */
    record Unresolved(Generation own, String writer) implements PublishResult {}

    /**
     * Nothing of this publication is in force.
     *
     * @param problem the reason
     */
    record Failed(StoreProblem problem) implements PublishResult {}
}
