package org.snipeslip.core.discovery;

import java.util.Map;
import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.rollout.RolloutState;

/** A request to the store from which configuration and servers are discovered. */
public sealed interface DiscoveryRequest {
    /** Returns the kind of objects that the request concerns. */
    DiscoveryKind kind();

    /** Changes since a revision of another era lack those that the era began with. */
    default boolean isOfOtherEra(DiscoveryResponse.Changes changes) {
        return this instanceof Watch watch && watch.revision().era() != changes.era();
    }

    /**
     * Reads one page of the list of objects of a kind.
     *
     * @param kind kind of the objects
     * @param after last name of the previous page; empty for the first page
     * @param stale whether the response may be outdated; such a request costs less
     */
    record ListPage(DiscoveryKind kind, String after, boolean stale) implements DiscoveryRequest {}

    /**
     * Waits for changes (long poll).
     *
     * @param kind kind of the objects
     * @param revision revision after which changes are returned
     * @param waitMillis maximum wait for a change
     * @param stale whether the response may be outdated; such a request costs less
     * @param attempt sequence number that distinguishes otherwise equal requests
     */
    record Watch(
            DiscoveryKind kind,
            StoreRevision revision,
            long waitMillis,
            boolean stale,
            long attempt)
            implements DiscoveryRequest {}

    /**
     * Asks another instance for the changes that it knows of (long poll).
     *
     * @param address address of the other instance, IP:PORT
     * @param revisions for each kind, the revision after which changes are returned; a kind with
     *     {@link StoreRevision#NONE} is returned whole
     * @param waitMillis maximum wait for a change
     * @param indirect whether the other instance may answer although it follows another one itself
     * @param attempt sequence number that distinguishes otherwise equal requests
     */
    record PeerPoll(
            String address,
            Map<DiscoveryKind, StoreRevision> revisions,
            long waitMillis,
            boolean indirect,
            long attempt)
            implements DiscoveryRequest {
        /** Copies the map. */
        public PeerPoll {
            revisions = Map.copyOf(revisions);
        }

        @Override
        public DiscoveryKind kind() {
            return DiscoveryKind.CONFIG;
        }
    }

    /**
     * Creates the object of this instance unless it exists.
     *
     * @param name name of the instance
     * @param region region of the instance
     * @param peerAddress address at which other instances ask it for changes, or empty
     */
    record Register(String name, String region, String peerAddress) implements DiscoveryRequest {
        @Override
        public DiscoveryKind kind() {
            return DiscoveryKind.INSTANCES;
        }
    }

    /**
     * Writes the status of a rollout unless its entry has changed.
     *
     * @param service the service
     * @param target the new version
     * @param state the state
     * @param revision revision that the entry must have
     * @param attempt sequence number that distinguishes otherwise equal requests
     */
    record WriteRollout(
            ServiceId service,
            ServerVersion target,
            RolloutState state,
            long revision,
            long attempt)
            implements DiscoveryRequest {
        @Override
        public DiscoveryKind kind() {
            return DiscoveryKind.ROLLOUTS;
        }
    }

    /**
     * Reads the entry of a rollout.
     *
     * @param service the service
     * @param attempt sequence number that distinguishes otherwise equal requests
     */
    record ReadRollout(ServiceId service, long attempt) implements DiscoveryRequest {
        @Override
        public DiscoveryKind kind() {
            return DiscoveryKind.ROLLOUTS;
        }
    }
}
