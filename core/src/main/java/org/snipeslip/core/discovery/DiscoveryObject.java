package org.snipeslip.core.discovery;

import java.util.function.Supplier;

/**
 * One object of the store as of its last change.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change
 * @param deleted whether that change deleted the object
 * @param record decoded content, before the deletion if the object was deleted; then null if
 *     unknown
 * @param encoded returns the content in the format of the store, for other instances; null if the
 *     object was deleted or is not to be passed on
 */
public record DiscoveryObject(
        String name,
        StoreRevision revision,
        boolean deleted,
        DiscoveryRecord record,
        Supplier<String> encoded) {
    /**
     * Creates an object that is not passed on to other instances.
     *
     * @param name name, unique within its kind
     * @param revision revision of its last change
     * @param deleted whether that change deleted the object
     * @param record decoded content
     */
    public DiscoveryObject(
            String name, StoreRevision revision, boolean deleted, DiscoveryRecord record) {
        this(name, revision, deleted, record, null);
    }

    static DiscoveryObject deleted(String name, StoreRevision revision) {
        return new DiscoveryObject(name, revision, true, null);
    }

    /** Returns the same content at another revision. */
    DiscoveryObject at(StoreRevision newRevision) {
        return new DiscoveryObject(name, newRevision, deleted, record, encoded);
    }

    /**
     * Returns whether the content was written before that of another version of this object. This
     * is decided by what the writers count, because a restored store assigns new revisions to old
     * content.
     *
     * @return false if it is not known
     */
    boolean isWrittenBefore(DiscoveryRecord other) {
        return record instanceof DiscoveryRecord.Server(DiscoveredServer server)
                && other instanceof DiscoveryRecord.Server(DiscoveredServer otherServer)
                && server.isWrittenBefore(otherServer);
    }
}
