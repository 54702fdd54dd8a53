package org.snipeslip.core.discovery;

import java.util.Map;

/**
 * Where an instance has discovered a configuration set, for the log.
 *
 * @param version version of the configuration
 * @param followed address of the instance that is followed, or empty if the store is
 * @param revisions up to which revision all changes of each kind are known
 * @param ageMillis time since the store is known to have held this
 */
public record ConfigOrigin(
        long version,
        String followed,
        Map<DiscoveryKind, StoreRevision> revisions,
        long ageMillis) {
    /** Copies the map. */
    public ConfigOrigin {
        revisions = Map.copyOf(revisions);
    }
}
