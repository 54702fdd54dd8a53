package org.snipeslip.core.suspect;

import java.util.Set;
import org.snipeslip.core.id.RegionId;

/** What one instance tells another about suspected requests. */
public sealed interface SuspectMessage {
    /**
     * Reports a crash, or a success, to an instance that counts the reports on this request.
     *
     * @param suspicion what the sender knows after it
     * @param server the crashed server; empty for a success
     */
    record Report(Suspicion suspicion, String server) implements SuspectMessage {}

    /**
     * Tells what all instances have to know.
     *
     * @param suspicion what the sender knows
     */
    record Notice(Suspicion suspicion) implements SuspectMessage {}

    /**
     * Tells an instance outside the home regions of a suspected request that it has to ask before
     * it sends requests with these home regions. The request itself is not identified.
     *
     * @param homeRegions the home regions
     */
    record Alert(Set<RegionId> homeRegions) implements SuspectMessage {
        /** Copies the set. */
        public Alert {
            homeRegions = Set.copyOf(homeRegions);
        }
    }
}
