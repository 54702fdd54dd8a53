package org.snipeslip.core.discovery;

import java.util.List;
import java.util.Map;
import org.snipeslip.core.rollout.RolloutEntry;

/** The response to a {@link DiscoveryRequest}. */
public sealed interface DiscoveryResponse {
    /**
     * A page of a list.
     *
     * @param objects the objects, sorted by name
     * @param more whether further pages follow
     * @param revision revision of the store at which the page was read
     */
    record Page(List<DiscoveryObject> objects, boolean more, StoreRevision revision)
            implements DiscoveryResponse {
        /** Copies the list. */
        public Page {
            objects = List.copyOf(objects);
        }
    }

    /**
     * Changes since the start revision of a watch; empty if its wait ended without a change.
     *
     * @param objects the changed objects, in the order of their changes
     * @param revision revision from which the next watch continues
     */
    record Changes(List<DiscoveryObject> objects, StoreRevision revision)
            implements DiscoveryResponse {
        /** Copies the list. */
        public Changes {
            objects = List.copyOf(objects);
        }
    }

    /**
     * What another instance knows.
     *
     * @param changes for each kind, the changes since the requested revision
     * @param ageMillis time since the other instance, or the one that it follows, last heard from
     *     the store
     * @param proofAgeMillis age of the other instance's {@link ConfigProof}, or {@link #NO_PROOF}
     */
    record PeerChanges(Map<DiscoveryKind, Changes> changes, long ageMillis, long proofAgeMillis)
            implements DiscoveryResponse {
        /** Age of a proof that does not exist. */
        public static final long NO_PROOF = -1;

        /** Copies the map. */
        public PeerChanges {
            changes = Map.copyOf(changes);
        }

        /**
         * Creates the answer of an instance without proof.
         *
         * @param changes for each kind, the changes since the requested revision
         * @param ageMillis time since the store was last heard
         */
        public PeerChanges(Map<DiscoveryKind, Changes> changes, long ageMillis) {
            this(changes, ageMillis, NO_PROOF);
        }

        /** Returns whether there is no change. */
        public boolean isEmpty() {
            return changes.values().stream().allMatch(each -> each.objects().isEmpty());
        }
    }

    /**
     * The object was created or already existed.
     *
     * @param era era of the store
     */
    record Registered(long era) implements DiscoveryResponse {}

    /** A status was written. */
    record Written() implements DiscoveryResponse {}

    /**
     * The entry of a rollout, as a response to a read or to a write that came too late.
     *
     * @param entry the entry, or null if there is none that can be read
     */
    record Found(RolloutEntry entry) implements DiscoveryResponse {}

    /** The store has discarded the history since the start revision of a watch. */
    record HistoryDiscarded() implements DiscoveryResponse {}

    /**
     * The request failed or its response was unusable.
     *
     * @param refused whether the store refused the request; otherwise it may have taken effect
     * @param reason description of the failure
     */
    record Failed(boolean refused, String reason) implements DiscoveryResponse {}

    /**
     * Returns the era of the store in which this response was made.
     *
     * @return the era, or a negative number if the response does not tell
     */
    default long era() {
        return switch (this) {
            case Page page -> page.revision.era();
            case Changes changes -> changes.revision.era();
            case Registered registered -> registered.era;
            case PeerChanges peer ->
                    peer.changes.values().stream()
                            .mapToLong(DiscoveryResponse::era)
                            .max()
                            .orElse(-1);
            case Written written -> -1;
            case Found found -> -1;
            case HistoryDiscarded discarded -> -1;
            case Failed failed -> -1;
        };
    }
}
